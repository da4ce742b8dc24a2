/**
 * The network of controllers: connects the view of the peers, the requests to them and the exchange of
 * heartbeats, and answers what peers send. Holds no state beside these parts; built by the composition root,
 * which serves `handle` on the peer address.
 */
import type * as Effect from 'effect/Effect';
import type { HttpClientFactory, ServerRequest, ServerResponse } from '../http/model.js';
import { readHeartbeat, readSender, writeHeartbeat } from './heartbeat-codec.js';
import { HeartbeatExchange } from './heartbeat-exchange.js';
import type { PeerHeartbeat } from './heartbeat.js';
import { PeerClient, type PeerAddress } from './peer-client.js';
import { PeerView } from './peer-view.js';
import { PEER_PATHS } from './request-codec.js';

/** What the peer network needs of the rest of the controller. */
export interface PeerNetworkDependencies {
  /** This controller's name. */
  readonly ownNode: string;
  readonly peers: readonly PeerAddress[];
  /** What this controller tells a peer. */
  readonly heartbeat: (to: string) => PeerHeartbeat;
  /** The controller that leads, as far as this controller knows. */
  readonly leader: () => string | undefined;
  /** ms, steady. */
  readonly now: () => number;
  readonly createHttpClient: HttpClientFactory;
  /** Answers a peer's request that is not a heartbeat; null: there is nothing under this path. */
  readonly answer: (path: string, body: unknown) => Promise<ServerResponse | null>;
}

/** Heartbeats and requests between the controllers. */
export class PeerNetwork {
  /** What the heartbeats of the peers say. */
  readonly view: PeerView;
  private readonly client: PeerClient;
  private readonly exchange: HeartbeatExchange;

  constructor(private readonly dependencies: PeerNetworkDependencies) {
    const { ownNode: me, peers, now, createHttpClient } = dependencies;
    const nodes = peers.map(({ node }) => node);
    this.view = new PeerView(nodes, now);
    this.client = new PeerClient(peers, createHttpClient);
    this.exchange = new HeartbeatExchange({
      ownNode: me,
      peerNodes: nodes,
      now,
      heartbeatAgeMs: (node) => this.view.heartbeatAgeMs(node),
      exchange: (node) => this.exchangeHeartbeats(node),
    });
  }

  /** The loops that exchange heartbeats. */
  get run(): Effect.Effect<unknown> {
    return this.exchange.run;
  }

  /** Asks a peer; see `PeerClient.request`. */
  request(node: string, path: string, body: unknown, timeoutMs?: number): Promise<unknown> {
    return this.client.request(node, path, body, timeoutMs);
  }

  /** Sends the leader a heartbeat soon, since something changed that it decides about. */
  notifyLeader(): void {
    const leader = this.dependencies.leader();
    if (leader !== undefined) this.exchange.notify(leader);
  }

  /** Answers a request of a peer. */
  async handle(call: ServerRequest): Promise<ServerResponse> {
    const body = call.body._tag === 'value' ? call.body.value : null;
    if (call.path === PEER_PATHS.heartbeat) return this.answerHeartbeat(body);
    return (await this.dependencies.answer(call.path, body)) ?? { status: 404 };
  }

  private answerHeartbeat(body: unknown): ServerResponse {
    this.record(body);
    const own = this.dependencies.heartbeat(readSender(body) ?? '');
    return { status: 200, body: writeHeartbeat(own) };
  }

  private async exchangeHeartbeats(node: string): Promise<void> {
    const own = writeHeartbeat(this.dependencies.heartbeat(node));
    this.record(await this.client.request(node, PEER_PATHS.heartbeat, own));
  }

  /** What names no sender is no heartbeat. */
  private record(body: unknown): void {
    const heartbeat = readHeartbeat(body);
    if (heartbeat !== null) this.view.record(heartbeat);
  }
}

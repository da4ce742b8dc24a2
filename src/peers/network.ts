/**
 * The network of controllers: connects the view of the peers, the requests to them and the exchange of
 * heartbeats, and answers the requests of peers. Has no state besides these components. The composition root
 * creates it and serves `handle` on the peer address.
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
  /** Builds this controller's heartbeat to a peer. */
  readonly heartbeat: (to: string) => PeerHeartbeat;
  /** The leader, as far as this controller knows; undefined: none is known. */
  readonly leader: () => string | undefined;
  /** The steady clock, ms. */
  readonly now: () => number;
  readonly createHttpClient: HttpClientFactory;
  /** Answers a peer's request that is not a heartbeat; null: the path is unknown. */
  readonly answer: (path: string, body: unknown) => Promise<ServerResponse | null>;
}

/** Heartbeats and requests between the controllers. */
export class PeerNetwork {
  /** The state of the peers according to their heartbeats. */
  readonly view: PeerView;
  private readonly client: PeerClient;
  private readonly exchange: HeartbeatExchange;

  constructor(private readonly dependencies: PeerNetworkDependencies) {
    const { ownNode, peers, now, createHttpClient } = dependencies;
    const peerNodes = peers.map(({ node }) => node);
    this.view = new PeerView(peerNodes, now);
    this.client = new PeerClient(peers, createHttpClient);
    this.exchange = new HeartbeatExchange({
      ownNode,
      peerNodes,
      now,
      heartbeatAgeMs: (node) => this.view.heartbeatAgeMs(node),
      exchange: (node) => this.exchangeHeartbeats(node),
    });
  }

  /** Runs the loops that exchange heartbeats. */
  get run(): Effect.Effect<unknown> {
    return this.exchange.run;
  }

  /** Sends a request to a peer; see `PeerClient.request`. */
  request(node: string, path: string, body: unknown, timeoutMs?: number): Promise<unknown> {
    return this.client.request(node, path, body, timeoutMs);
  }

  /** Sends the leader a heartbeat soon, since something changed that the leader's decisions depend on. */
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

  /** Records a heartbeat; a value that names no sender is ignored. */
  private record(body: unknown): void {
    const heartbeat = readHeartbeat(body);
    if (heartbeat !== null) this.view.record(heartbeat);
  }
}

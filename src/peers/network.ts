import * as Effect from 'effect/Effect';
import { EVEN_RATE_FRACTION } from '../constants/key-value-store.js';
import {
  HEARTBEAT_DUE_FRACTION,
  HEARTBEAT_FRESHNESS_MS,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_NOTIFICATION_INTERVAL_MS,
  HEARTBEAT_RESPONDER_FACTOR,
  MAX_SOCKETS_PER_PEER,
  MAX_STEADY_HEARTBEAT_GAP_MS,
  MIN_HEARTBEAT_PAUSE_MS,
  PEER_REQUEST_TIMEOUT_MS,
} from '../constants/peers.js';
import type { PeerStatus } from '../claims/claim-decisions.js';
import type { ShardSummary } from '../fleet/records.js';
import {
  parseTarget,
  type ServerRequest,
  type HttpClient,
  type HttpClientFactory,
  type ServerResponse,
} from '../http.js';
import { readHeartbeat, readSender, writeHeartbeat } from './heartbeat-codec.js';
import type { Demand, PeerHeartbeat } from './heartbeat.js';

/** Heartbeats and requests between controllers: MessagePack over HTTP, on the peer address. */

interface Known {
  heartbeat: PeerHeartbeat;
  at: number;
  steadySince: number;
  /** By share and job, made when first asked for. */
  counts: Map<number, Map<string, { done: number; running: number }>> | null;
}

/** What the peer network needs of the rest of the controller. */
export interface PeerNetworkInput {
  readonly me: string;
  readonly peers: readonly { readonly host_name: string; readonly endpoint: string }[];
  readonly heartbeat: (to: string) => PeerHeartbeat;
  /** The node that leads, as far as this node knows; its heartbeats are hurried. */
  readonly leader: () => string | undefined;
  readonly now: () => number;
  readonly createHttpClient: HttpClientFactory;
  /** Answers a peer's request that is not a heartbeat; null: there is nothing under this path. */
  readonly answer: (path: string, body: unknown) => Promise<ServerResponse | null>;
}

/**
 * This node's part of a rate that all nodes share: half is divided evenly, half by what each asks for. A node
 * that is not heard keeps its even part and what it last asked for.
 */
export const rateFor = (total: number, own: number, others: readonly number[]): number => {
  const nodes = others.length + 1;
  const all = others.reduce((sum, demand) => sum + demand, own);
  const byDemand = all > 0 ? own / all : 1 / nodes;
  return total * (EVEN_RATE_FRACTION / nodes + (1 - EVEN_RATE_FRACTION) * byDemand);
};

/** Heartbeats and requests between the controllers, and what each last heard of the others. */
export class PeerNetwork {
  private readonly clients = new Map<string, HttpClient>();
  private readonly known = new Map<string, Known>();
  private readonly wakes = new Map<string, () => void>();
  /** Peers that are to hear of something at once. */
  private readonly notified = new Set<string>();

  constructor(private readonly input: PeerNetworkInput) {
    for (const sibling of input.peers) {
      this.clients.set(
        sibling.host_name,
        input.createHttpClient(parseTarget(sibling.endpoint), MAX_SOCKETS_PER_PEER),
      );
    }
  }

  private note(value: unknown): void {
    const beat = readHeartbeat(value);
    if (beat === null || !this.clients.has(beat.from)) return;
    const now = this.input.now();
    const before = this.known.get(beat.from);
    const steady =
      before !== undefined &&
      before.heartbeat.incarnation === beat.incarnation &&
      now - before.at < MAX_STEADY_HEARTBEAT_GAP_MS;
    this.known.set(beat.from, {
      heartbeat: beat,
      at: now,
      steadySince: steady ? before.steadySince : now,
      counts: null,
    });
  }

  fresh(node: string): PeerHeartbeat | null {
    const known = this.known.get(node);
    return known && this.input.now() - known.at < HEARTBEAT_FRESHNESS_MS ? known.heartbeat : null;
  }

  peers(): readonly PeerStatus[] {
    const now = this.input.now();
    return [...this.known].map(([node, known]) => ({
      node,
      incarnation: known.heartbeat.incarnation,
      lease: known.heartbeat.lease,
      steadyMs: now - known.at < HEARTBEAT_FRESHNESS_MS ? now - known.steadySince : -1,
      storeReachable: known.heartbeat.storeSilenceMs < HEARTBEAT_FRESHNESS_MS,
      workersUnreachable: known.heartbeat.workersUnreachable,
    }));
  }

  /** Peers that say, freshly, that they can't reach the state service; and those that can. */
  storeReachability(): { readonly down: number; readonly up: number } {
    let down = 0;
    let up = 0;
    for (const node of this.clients.keys()) {
      const beat = this.fresh(node);
      if (!beat) continue;
      if (beat.storeSilenceMs < HEARTBEAT_FRESHNESS_MS) up += 1;
      else down += 1;
    }
    return { down, up };
  }

  /** Every peer says, freshly, that it can't reach the state service. */
  allDown(): boolean {
    return this.storeReachability().down === this.clients.size;
  }

  allHeard(): boolean {
    return [...this.clients.keys()].every((node) => this.fresh(node) !== null);
  }

  /** What each peer last announced that it understands; null: it was never heard. */
  announced(): readonly (number | null)[] {
    return [...this.clients.keys()].map((node) => {
      const known = this.known.get(node);
      return known ? (known.heartbeat.protocolVersion ?? 0) : null;
    });
  }

  /** Does a peer that is heard understand this much? */
  understands(node: string, level: number): boolean {
    return (this.fresh(node)?.protocolVersion ?? 0) >= level;
  }

  summaries(): readonly ShardSummary[] {
    return [...this.clients.keys()].flatMap((node) => this.fresh(node)?.summaries ?? []);
  }

  /** What each peer last said that it asks of the state service. */
  demands(): readonly Demand[] {
    return [...this.clients.keys()].map(
      (node) => this.known.get(node)?.heartbeat.demand ?? { requests: 0, changes: 0 },
    );
  }

  /** What a job's holder said of its tasks with its last heartbeat; null: nothing, or not lately. */
  counts(shardId: number, id: string): { done: number; running: number } | null {
    const now = this.input.now();
    for (const known of this.known.values()) {
      if (now - known.at > HEARTBEAT_FRESHNESS_MS) continue;
      known.counts ??= new Map(
        known.heartbeat.counts.map((shard) => [
          shard.shardId,
          new Map(shard.jobs.map(([job, done, running]) => [job, { done, running }])),
        ]),
      );
      const found = known.counts.get(shardId)?.get(id);
      if (found) return found;
    }
    return null;
  }

  misroutedHeartbeats(shard: string): { readonly node: string; readonly count: number } | null {
    let best: { node: string; count: number } | null = null;
    for (const node of this.clients.keys()) {
      const count = this.fresh(node)?.misroutedHeartbeats[shard] ?? 0;
      if (count > (best?.count ?? 0)) best = { node, count };
    }
    return best;
  }

  async ask(
    node: string,
    path: string,
    body: unknown,
    timeoutMs = PEER_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const answer = await this.clients.get(node)?.request('POST', path, body, timeoutMs);
    return answer?._tag === 'response' && answer.status === 200 ? answer.body : null;
  }

  async handle(call: ServerRequest): Promise<ServerResponse> {
    const body = call.body._tag === 'value' ? call.body.value : null;
    if (call.path === '/beat') {
      this.note(body);
      return { status: 200, body: writeHeartbeat(this.input.heartbeat(readSender(body) ?? '')) };
    }
    const result = await this.input.answer(call.path, body);
    return result ?? { status: 404 };
  }

  /** Sends the leader a heartbeat soon, since something changed that it decides about. */
  notifyLeader(): void {
    const leader = this.input.leader();
    if (leader !== undefined) this.wakes.get(leader)?.();
  }

  private waitMs(node: string): number {
    return HEARTBEAT_INTERVAL_MS * (this.input.me < node ? 1 : HEARTBEAT_RESPONDER_FACTOR);
  }

  /** ms until this node would begin an exchange with that one. */
  private nextMs(node: string): number {
    const known = this.known.get(node);
    const age = known ? this.input.now() - known.at : 0;
    const wait = this.waitMs(node);
    // One that does not answer is tried every heartbeat.
    return age >= wait ? HEARTBEAT_INTERVAL_MS : Math.max(MIN_HEARTBEAT_PAUSE_MS, wait - age);
  }

  private pause(node: string): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, this.nextMs(node));
      const begun = this.input.now();
      this.wakes.set(node, () => {
        this.wakes.delete(node);
        this.notified.add(node);
        clearTimeout(timer);
        setTimeout(resolve, Math.max(0, HEARTBEAT_NOTIFICATION_INTERVAL_MS - (this.input.now() - begun)));
      });
    });
  }

  /**
   * Each answers a heartbeat with its own, so of two nodes one need begin: the other does when it was not
   * heard in time.
   */
  private due(node: string): boolean {
    const known = this.known.get(node);
    if (known === undefined || this.notified.delete(node)) return true;
    return this.input.now() - known.at >= this.waitMs(node) * HEARTBEAT_DUE_FRACTION;
  }

  private exchangeWith(node: string): Effect.Effect<never> {
    return Effect.promise(async () => {
      if (this.due(node)) {
        const heartbeat = writeHeartbeat(this.input.heartbeat(node));
        this.note(await this.ask(node, '/beat', heartbeat));
      }
    }).pipe(Effect.andThen(Effect.promise(() => this.pause(node))), Effect.forever);
  }

  get run(): Effect.Effect<unknown> {
    return Effect.all(
      [...this.clients.keys()].map((node) => this.exchangeWith(node)),
      { concurrency: 'unbounded' },
    );
  }
}

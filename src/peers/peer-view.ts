/**
 * The state of the peers as this controller knows it. Owns the last heartbeat of each peer and the time since
 * which its heartbeats have arrived without a gap. Only the peer network records heartbeats; every other
 * subsystem reads the state of the peers here.
 */
import type { PeerStatus } from '../claims/claim-decisions.js';
import { HEARTBEAT_FRESHNESS_MS, MAX_STEADY_HEARTBEAT_GAP_MS } from '../constants/peers.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { PeerHeartbeat, ShardTaskCounts, StoreDemand } from './heartbeat.js';

/** The protocol version of a controller whose heartbeat names none. */
const UNANNOUNCED_VERSION = 0;
/** `PeerStatus.steadyMs` of a peer whose last heartbeat is not recent. */
const NOT_STEADY = -1;
const NO_DEMAND: StoreDemand = { requests: 0, changes: 0 };

/** Number of tasks of a job that are done and that are running. */
export interface JobTaskCounts {
  readonly done: number;
  readonly running: number;
}

/**
 * Number of peers with a recent heartbeat that can't reach (`down`) and can reach (`up`) the key-value store.
 */
export interface StoreReachability {
  readonly down: number;
  readonly up: number;
}

/**
 * A controller that receives worker heartbeats for a shard that another controller holds, and the number of
 * machines that send them.
 */
export interface MisroutedHeartbeats {
  readonly node: string;
  readonly count: number;
}

type CountsByShard = ReadonlyMap<number, ReadonlyMap<string, JobTaskCounts>>;

/** The last heartbeat of a peer. Times are in ms on the steady clock. */
interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  readonly receivedAt: number;
  /** Time since which heartbeats of the same process have arrived without a gap. */
  readonly steadySince: number;
  /** Null until the first query: indexing is deferred because a heartbeat has thousands of counts. */
  countsByShard: CountsByShard | null;
}

const indexCounts = (counts: readonly ShardTaskCounts[]): CountsByShard =>
  new Map(
    counts.map((shard) => [
      shard.shardId,
      new Map(shard.jobs.map(([job, done, running]) => [job, { done, running }])),
    ]),
  );

/** Whether a heartbeat is of the same process as the previous one and follows it without a gap. */
const isSteady = (before: ReceivedHeartbeat, heartbeat: PeerHeartbeat, now: number): boolean =>
  before.heartbeat.incarnation === heartbeat.incarnation &&
  now - before.receivedAt < MAX_STEADY_HEARTBEAT_GAP_MS;

/** The state of each peer according to its last heartbeat. */
export class PeerView {
  private readonly received = new Map<string, ReceivedHeartbeat>();

  /** `now`: the steady clock, ms. */
  constructor(
    private readonly peerNodes: readonly string[],
    private readonly now: () => number,
  ) {}

  /** Records a heartbeat; a heartbeat of a controller that the settings don't name is ignored. */
  record(heartbeat: PeerHeartbeat): void {
    if (!this.peerNodes.includes(heartbeat.from)) return;
    const now = this.now();
    const before = this.received.get(heartbeat.from);
    this.received.set(heartbeat.from, {
      heartbeat,
      receivedAt: now,
      steadySince: before && isSteady(before, heartbeat, now) ? before.steadySince : now,
      countsByShard: null,
    });
  }

  /** Returns the ms since the last heartbeat of a peer; null: none has been received yet. */
  heartbeatAgeMs(node: string): number | null {
    const last = this.received.get(node);
    return last ? this.now() - last.receivedAt : null;
  }

  /** Returns the last heartbeat of a peer if it is recent; else null. */
  recentHeartbeat(node: string): PeerHeartbeat | null {
    const last = this.received.get(node);
    return last && this.now() - last.receivedAt < HEARTBEAT_FRESHNESS_MS ? last.heartbeat : null;
  }

  /** Returns the input for claim decisions about each peer that has ever sent a heartbeat. */
  statuses(): readonly PeerStatus[] {
    const now = this.now();
    return [...this.received].map(([node, { heartbeat, receivedAt, steadySince }]) => ({
      node,
      incarnation: heartbeat.incarnation,
      lease: heartbeat.lease,
      steadyMs: now - receivedAt < HEARTBEAT_FRESHNESS_MS ? now - steadySince : NOT_STEADY,
      storeReachable: heartbeat.storeSilenceMs < HEARTBEAT_FRESHNESS_MS,
      workersUnreachable: heartbeat.workersUnreachable,
    }));
  }

  /**
   * Counts the peers whose recent heartbeat says that they can't, and that they can, reach the key-value
   * store.
   */
  storeReachability(): StoreReachability {
    const recent = this.peerNodes.flatMap((node) => this.recentHeartbeat(node) ?? []);
    const up = recent.filter((heartbeat) => heartbeat.storeSilenceMs < HEARTBEAT_FRESHNESS_MS).length;
    return { down: recent.length - up, up };
  }

  /** Whether every peer says in a recent heartbeat that it can't reach the key-value store. */
  storeDownForAll(): boolean {
    return this.storeReachability().down === this.peerNodes.length;
  }

  /** Whether every peer has sent a heartbeat recently. */
  allConnected(): boolean {
    return this.peerNodes.every((node) => this.recentHeartbeat(node) !== null);
  }

  /**
   * Returns the protocol version that each peer last announced; null: the peer has never sent a heartbeat.
   */
  announcedVersions(): readonly (number | null)[] {
    return this.peerNodes.map((node) => {
      const last = this.received.get(node);
      return last ? (last.heartbeat.protocolVersion ?? UNANNOUNCED_VERSION) : null;
    });
  }

  /** Whether a peer announces at least this protocol version in a recent heartbeat. */
  supportsVersion(node: string, version: number): boolean {
    return (this.recentHeartbeat(node)?.protocolVersion ?? UNANNOUNCED_VERSION) >= version;
  }

  /** Returns the shard summaries in the peers' recent heartbeats. */
  summaries(): readonly ShardSummary[] {
    return this.peerNodes.flatMap((node) => this.recentHeartbeat(node)?.summaries ?? []);
  }

  /**
   * Returns the demand on the key-value store that each peer last announced, however old its heartbeat is.
   */
  storeDemands(): readonly StoreDemand[] {
    return this.peerNodes.map((node) => this.received.get(node)?.heartbeat.demand ?? NO_DEMAND);
  }

  /**
   * Returns the task counts of a job from a recent heartbeat of the holder of its shard; null: there are
   * none.
   */
  taskCounts(shardId: number, job: string): JobTaskCounts | null {
    const now = this.now();
    for (const last of this.received.values()) {
      if (now - last.receivedAt > HEARTBEAT_FRESHNESS_MS) continue;
      last.countsByShard ??= indexCounts(last.heartbeat.counts);
      const counts = last.countsByShard.get(shardId)?.get(job);
      if (counts) return counts;
    }
    return null;
  }

  /**
   * Returns the peer that receives heartbeats from the most machines of a shard that the peer does not hold;
   * null: no peer receives any.
   */
  misroutedHeartbeats(claimName: string): MisroutedHeartbeats | null {
    let most: MisroutedHeartbeats | null = null;
    for (const node of this.peerNodes) {
      const count = this.recentHeartbeat(node)?.misroutedHeartbeats[claimName] ?? 0;
      if (count > (most?.count ?? 0)) most = { node, count };
    }
    return most;
  }
}

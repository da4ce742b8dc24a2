/**
 * What this controller knows of its peers. Owns the last heartbeat of each, and since when they come without
 * a gap; only the peer network records heartbeats, every other subsystem asks here.
 */
import type { PeerStatus } from '../claims/claim-decisions.js';
import { HEARTBEAT_FRESHNESS_MS, MAX_STEADY_HEARTBEAT_GAP_MS } from '../constants/peers.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { PeerHeartbeat, ShardTaskCounts, StoreDemand } from './heartbeat.js';

/** The version of a controller whose heartbeat names none. */
const UNANNOUNCED_VERSION = 0;
/** `PeerStatus.steadyMs` of a peer that does not answer. */
const NOT_STEADY = -1;
const NO_DEMAND: StoreDemand = { requests: 0, changes: 0 };

/** How many tasks of a job are done and how many run. */
export interface JobTaskCounts {
  readonly done: number;
  readonly running: number;
}

/** How many peers can't reach the key-value store, and how many can, of those whose heartbeat is recent. */
export interface StoreReachability {
  readonly down: number;
  readonly up: number;
}

/** A controller that receives heartbeats of workers of another one's shard, and from how many machines. */
export interface MisroutedHeartbeats {
  readonly node: string;
  readonly count: number;
}

type CountsByShard = ReadonlyMap<number, ReadonlyMap<string, JobTaskCounts>>;

/** The last heartbeat of a peer. Times are ms on the clock of the view. */
interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  readonly receivedAt: number;
  /** Since then heartbeats of this process have come without a gap. */
  readonly steadySince: number;
  /** Made when first asked for: there are thousands of counts in a heartbeat. */
  countsByShard: CountsByShard | null;
}

const indexCounts = (counts: readonly ShardTaskCounts[]): CountsByShard =>
  new Map(
    counts.map((shard) => [
      shard.shardId,
      new Map(shard.jobs.map(([job, done, running]) => [job, { done, running }])),
    ]),
  );

/** Does a heartbeat of the same process come without a gap after the last one? */
const isSteady = (before: ReceivedHeartbeat, heartbeat: PeerHeartbeat, now: number): boolean =>
  before.heartbeat.incarnation === heartbeat.incarnation &&
  now - before.receivedAt < MAX_STEADY_HEARTBEAT_GAP_MS;

/** The last heartbeat of each peer, and what it says. */
export class PeerView {
  private readonly received = new Map<string, ReceivedHeartbeat>();

  /** `now`: ms, steady. */
  constructor(
    private readonly peerNodes: readonly string[],
    private readonly now: () => number,
  ) {}

  /** Records a heartbeat; one of a controller that the settings don't name is left out. */
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

  /** ms since the last heartbeat of a peer; null: none came yet. */
  heartbeatAgeMs(node: string): number | null {
    const last = this.received.get(node);
    return last ? this.now() - last.receivedAt : null;
  }

  /** The last heartbeat of a peer, if it is recent; else null. */
  recentHeartbeat(node: string): PeerHeartbeat | null {
    const last = this.received.get(node);
    return last && this.now() - last.receivedAt < HEARTBEAT_FRESHNESS_MS ? last.heartbeat : null;
  }

  /** What decisions about claims look at, of each peer that has ever sent a heartbeat. */
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
   * How many peers say in a recent heartbeat that they can't reach the key-value store, and that they can.
   */
  storeReachability(): StoreReachability {
    const recent = this.peerNodes.flatMap((node) => this.recentHeartbeat(node) ?? []);
    const up = recent.filter((heartbeat) => heartbeat.storeSilenceMs < HEARTBEAT_FRESHNESS_MS).length;
    return { down: recent.length - up, up };
  }

  /** Does every peer say in a recent heartbeat that it can't reach the key-value store? */
  storeDownForAll(): boolean {
    return this.storeReachability().down === this.peerNodes.length;
  }

  /** Has every peer sent a heartbeat recently? */
  allConnected(): boolean {
    return this.peerNodes.every((node) => this.recentHeartbeat(node) !== null);
  }

  /** The protocol version that each peer last announced; null: it has never sent a heartbeat. */
  announcedVersions(): readonly (number | null)[] {
    return this.peerNodes.map((node) => {
      const last = this.received.get(node);
      return last ? (last.heartbeat.protocolVersion ?? UNANNOUNCED_VERSION) : null;
    });
  }

  /** Does a peer announce at least this protocol version in a recent heartbeat? */
  supportsVersion(node: string, version: number): boolean {
    return (this.recentHeartbeat(node)?.protocolVersion ?? UNANNOUNCED_VERSION) >= version;
  }

  /** The summaries of shards in the peers' recent heartbeats. */
  summaries(): readonly ShardSummary[] {
    return this.peerNodes.flatMap((node) => this.recentHeartbeat(node)?.summaries ?? []);
  }

  /** What each peer last said that it asks of the key-value store. */
  storeDemands(): readonly StoreDemand[] {
    return this.peerNodes.map((node) => this.received.get(node)?.heartbeat.demand ?? NO_DEMAND);
  }

  /** What the holder of a job's shard last said of its tasks; null: nothing, or not recently. */
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

  /** The peer that receives heartbeats of most machines of a shard that it does not hold; null: none does. */
  misroutedHeartbeats(claimName: string): MisroutedHeartbeats | null {
    let most: MisroutedHeartbeats | null = null;
    for (const node of this.peerNodes) {
      const count = this.recentHeartbeat(node)?.misroutedHeartbeats[claimName] ?? 0;
      if (count > (most?.count ?? 0)) most = { node, count };
    }
    return most;
  }
}

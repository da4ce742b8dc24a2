/**
 * The lifecycle of the shards that this process holds. Owns the map of running shards, one for each
 * claim revision of this process; the change dispatcher tells it of claims, the other subsystems find shards
 * here.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type { Cancellation } from '../cancellation/model.js';
import type { LeaseManager } from '../claims/lease-manager.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import { log } from '../log.js';
import type { PeerHeartbeat } from '../peers/heartbeat.js';
import type { Shard } from '../placement/shard.js';
import { parseShardId } from '../kv-store/keys.js';
import { supervise } from './supervise.js';

/** What the lifecycle of shards needs of the rest of the controller. */
export interface HeldShardsDependencies {
  readonly shardCount: number;
  readonly leases: Pick<LeaseManager, 'ownRevision' | 'actingRevision'>;
  /** Creates the shard for the claim with this revision. */
  readonly create: (shardId: number, claim: number) => Shard;
  /** Called once a shard is taken: what its jobs depend on is to be evaluated anew. */
  readonly onTaken: () => void;
}

/** A shard whose runs are read, with the revision of its claim. */
export interface LoadedShard {
  readonly shardId: number;
  readonly claim: number;
}

interface RunningShard {
  readonly shard: Shard;
  readonly fiber: Fiber.Fiber<unknown>;
}

/** The shards that this process holds. */
export class HeldShards {
  private readonly running = new Map<number, RunningShard>();

  constructor(private readonly dependencies: HeldShardsDependencies) {}

  /** A claim changed; a `Shard` lives as long as this process's claim with that very revision. */
  onClaimChanged(claimName: string): void {
    const shardId = parseShardId(claimName);
    if (shardId === null || shardId >= this.dependencies.shardCount) return;
    const claim = this.dependencies.leases.heldClaimRevision(claimName);
    const held = this.running.get(shardId);
    if (held?.shard.claim === claim) return;
    if (held) this.drop(shardId, held);
    if (claim !== null) this.take(shardId, claim);
  }

  private drop(shardId: number, held: RunningShard): void {
    held.shard.markLost();
    this.running.delete(shardId);
  }

  private take(shardId: number, claim: number): void {
    const shard = this.dependencies.create(shardId, claim);
    const fiber = Effect.runFork(supervise(`shard.${shardId}`, shard.run));
    this.running.set(shardId, { shard, fiber });
    this.dependencies.onTaken();
    log.info({ event: 'shard.taken', shardId, claim });
  }

  /** Does this process hold the shard, as far as the shared keys show? */
  isHeld(shardId: number): boolean {
    return this.running.has(shardId);
  }

  /** The shard, if this process may act for it now. */
  actingShard(shardId: number): Shard | null {
    const claim = this.dependencies.leases.actingClaimRevision(String(shardId));
    const shard = this.running.get(shardId)?.shard;
    return claim !== null && shard?.claim === claim && shard.stage !== 'lost' ? shard : null;
  }

  /** Applies an action to each shard held, in the order in which they were taken. */
  forEach(action: (shard: Shard) => void): void {
    for (const { shard } of this.running.values()) action(shard);
  }

  /** Puts a cancellation to a shard held here; false: this process does not hold it under that very claim. */
  acknowledge({ shardId, claim, job, revision }: Cancellation): boolean {
    const shard = this.running.get(shardId)?.shard;
    return shard?.claim === claim && shard.acknowledgeCancellation(job, revision);
  }

  /** The summaries of the shards that this process may act for. */
  ownSummaries(): readonly ShardSummary[] {
    return [...this.running.keys()].flatMap((shardId) => this.actingShard(shardId)?.summary ?? []);
  }

  /** Task counts of the jobs of the shards held, as heartbeats carry them. */
  taskCounts(): PeerHeartbeat['counts'] {
    return [...this.running].map(([shardId, { shard }]) => ({ shardId, jobs: shard.allTaskCounts() }));
  }

  /** The shards that this process may act for and whose runs are read. */
  loaded(): readonly LoadedShard[] {
    return [...this.running.keys()].flatMap((shardId) => {
      const shard = this.actingShard(shardId);
      return shard && shard.stage !== 'loading' ? [{ shardId, claim: shard.claim }] : [];
    });
  }

  /** Ends all shards. */
  stop(): void {
    for (const { shard, fiber } of this.running.values()) {
      shard.markLost();
      Effect.runFork(Fiber.interrupt(fiber));
    }
  }
}

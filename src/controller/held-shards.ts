/**
 * The lifecycle of the shards that this process holds. Owns the map of running shards, with one `Shard` for
 * each shard claim that this process holds. The change dispatcher reports changes of claims; the other
 * subsystems look up shards here.
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

/** What the lifecycle of shards needs from the rest of the controller. */
export interface HeldShardsDependencies {
  readonly shardCount: number;
  readonly leases: Pick<LeaseManager, 'heldClaimRevision' | 'actingClaimRevision'>;
  /** Creates the shard for the claim with this revision. */
  readonly create: (shardId: number, claim: number) => Shard;
  /** Called when this process takes a shard; evaluates the dependencies of the shard's jobs again. */
  readonly onTaken: () => void;
}

/** A shard whose runs have been read, with the revision of its claim. */
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

  /**
   * Starts and stops the shard of a claim that changed. A `Shard` runs only while this process holds the
   * claim at the revision for which the `Shard` was created.
   */
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

  /** Whether this process holds the shard according to the watch cache. */
  isHeld(shardId: number): boolean {
    return this.running.has(shardId);
  }

  /** Returns the shard if this process may act for it now, else null. */
  actingShard(shardId: number): Shard | null {
    const claim = this.dependencies.leases.actingClaimRevision(String(shardId));
    const shard = this.running.get(shardId)?.shard;
    return claim !== null && shard?.claim === claim && shard.stage !== 'lost' ? shard : null;
  }

  /** Calls the action for each shard that this process holds, in the order in which the shards were taken. */
  forEach(action: (shard: Shard) => void): void {
    for (const { shard } of this.running.values()) action(shard);
  }

  /**
   * Passes a cancellation to its shard; false: this process does not hold the shard under the claim of the
   * cancellation.
   */
  acknowledge({ shardId, claim, job, revision }: Cancellation): boolean {
    const shard = this.running.get(shardId)?.shard;
    return shard?.claim === claim && shard.acknowledgeCancellation(job, revision);
  }

  /** Returns the summaries of the shards that this process may act for. */
  ownSummaries(): readonly ShardSummary[] {
    return [...this.running.keys()].flatMap((shardId) => this.actingShard(shardId)?.summary ?? []);
  }

  /**
   * Returns the task counts of the jobs in the shards that this process holds, in the form in which
   * heartbeats contain them.
   */
  taskCounts(): PeerHeartbeat['counts'] {
    return [...this.running].map(([shardId, { shard }]) => ({ shardId, jobs: shard.allTaskCounts() }));
  }

  /** Returns the shards that this process may act for and whose runs have been read. */
  loaded(): readonly LoadedShard[] {
    return [...this.running.keys()].flatMap((shardId) => {
      const shard = this.actingShard(shardId);
      return shard && shard.stage !== 'loading' ? [{ shardId, claim: shard.claim }] : [];
    });
  }

  /** Stops all shards. */
  stop(): void {
    for (const { shard, fiber } of this.running.values()) {
      shard.markLost();
      Effect.runFork(Fiber.interrupt(fiber));
    }
  }
}

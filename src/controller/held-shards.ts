/**
 * The lifecycle of the shards that this process holds. Owns the map of `Share` objects, one for each claim
 * revision of this process; the change dispatcher tells it of claims, the other subsystems look shards up
 * here.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type { Cancellation } from '../cancellation/acknowledgement.js';
import type { LeaseManager } from '../claims/lease-manager.js';
import type { Summary } from '../fleet/records.js';
import { log } from '../log.js';
import type { PeerHeartbeat } from '../peers/heartbeat.js';
import type { Share } from '../placement/shard.js';
import { parseShard } from '../kv-store/keys.js';
import { supervise } from './supervise.js';

/** What the lifecycle of shards needs of the rest of the controller. */
export interface HeldShardsInput {
  readonly shardCount: number;
  readonly leases: Pick<LeaseManager, 'mine' | 'entitled'>;
  /** Creates the shard for the claim with this revision. */
  readonly create: (shard: number, claim: number) => Share;
  /** A shard was taken: what its jobs wait for is to be looked up. */
  readonly onTaken: () => void;
}

/** A shard whose runs are read, with the revision of its claim. */
export interface LoadedShard {
  readonly slot: number;
  readonly claim: number;
}

interface RunningShard {
  readonly share: Share;
  readonly fiber: Fiber.Fiber<unknown>;
}

/** The shards that this process holds. */
export class HeldShards {
  private readonly running = new Map<number, RunningShard>();

  constructor(private readonly input: HeldShardsInput) {}

  /** The claim on a slot changed; a `Share` lives as long as this process's claim with that very revision. */
  followClaim(slot: string): void {
    const shard = parseShard(slot);
    if (shard === null || shard >= this.input.shardCount) return;
    const claim = this.input.leases.mine(slot);
    const held = this.running.get(shard);
    if (held && held.share.claim === claim) return;
    if (held) this.drop(shard, held);
    if (claim !== null) this.take(shard, claim);
  }

  private drop(shard: number, held: RunningShard): void {
    held.share.lose();
    this.running.delete(shard);
  }

  private take(shard: number, claim: number): void {
    const share = this.input.create(shard, claim);
    const fiber = Effect.runFork(supervise(`share.${shard}`, share.run));
    this.running.set(shard, { share, fiber });
    this.input.onTaken();
    log.info({ event: 'share.taken', share: shard, claim });
  }

  /** Does this process hold the shard, as far as the shared keys show? */
  holds(shard: number): boolean {
    return this.running.has(shard);
  }

  /** The shard, if this process may act for it now. */
  entitled(shard: number): Share | null {
    const claim = this.input.leases.entitled(String(shard));
    const share = this.running.get(shard)?.share;
    return claim !== null && share && share.claim === claim && share.stage !== 'lost' ? share : null;
  }

  /** Applies an action to each shard held, in the order in which they were taken. */
  forEach(action: (share: Share) => void): void {
    for (const { share } of this.running.values()) action(share);
  }

  /** Puts a cancellation to a shard of ours; false: this process does not hold it under that very claim. */
  acknowledge({ slot, claim, job, version }: Cancellation): boolean {
    const share = this.running.get(slot)?.share;
    return share?.claim === claim && share.acknowledge(job, version);
  }

  /** The summaries of the shards that this process may act for. */
  ownSummaries(): readonly Summary[] {
    return [...this.running.keys()].flatMap((shard) => this.entitled(shard)?.summary ?? []);
  }

  /** Task counts of the jobs of the shards held, as heartbeats carry them. */
  taskCounts(): PeerHeartbeat['counts'] {
    return [...this.running].map(([slot, { share }]) => ({ slot, jobs: share.allCounts() }));
  }

  /** The shards that this process may act for and whose runs are read. */
  loaded(): readonly LoadedShard[] {
    return [...this.running.keys()].flatMap((slot) => {
      const share = this.entitled(slot);
      return share && share.stage !== 'loading' ? [{ slot, claim: share.claim }] : [];
    });
  }

  /** Ends all shards. */
  stop(): void {
    for (const { share, fiber } of this.running.values()) {
      share.lose();
      Effect.runFork(Fiber.interrupt(fiber));
    }
  }
}

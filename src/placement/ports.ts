/**
 * What the classes of a shard need of each other and of the controller, as small interfaces that their
 * `…Dependencies` are put together from. No state.
 */

/** Time since some fixed moment, in ms: for leases, pauses and ages within this process. */
export interface SteadyClock {
  readonly now: () => number;
}

/** ms since the epoch: only for ages of jobs and machines, never for leases. */
export interface WallClock {
  readonly wall: () => number;
}

/** The shard, and the revision of the claim under which this process holds it. */
export interface ShardIdentity {
  readonly shardId: number;
  readonly claim: number;
}

/** How far the shard is; `ShardStage` answers. */
export interface StageQueries {
  /** The shard's runs have been read, so that what is bound is known. */
  readonly isLoaded: () => boolean;
  /** The shard has been rebuilt, so it may place work and give machines away. */
  readonly isPlacing: () => boolean;
  /** The shard's claim is no longer held by this process. */
  readonly isLost: () => boolean;
}

/** Asks for a placement round; `RoundLoop` runs it. */
export interface RoundTrigger {
  /** Something changed that a round should look at. */
  readonly requestRound: () => void;
}

/** What a stored value may be. */
export interface ValueLimits {
  /** bytes: the largest value that the key-value store takes, now and later. */
  readonly valueBytes: number;
  /** Every controller reads runs that are stored in parts. */
  readonly maySplit: () => boolean;
}

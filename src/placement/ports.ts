/**
 * Small interfaces that the `…Dependencies` of a shard's classes are composed of: what the classes need of
 * each other and of the controller. No state.
 */

/** ms since some fixed moment: for leases, pauses and ages within this process. */
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

/** The stage of the shard; `ShardStage` implements it. */
export interface StageQueries {
  /** Whether the shard's runs have been read, so that its bindings are known. */
  readonly isLoaded: () => boolean;
  /** Whether the shard has been rebuilt, so that it may place work and transfer machines. */
  readonly isPlacing: () => boolean;
  /** Whether this process no longer holds the shard's claim. */
  readonly isLost: () => boolean;
}

/** Requests placement rounds; `RoundLoop` runs them. */
export interface RoundTrigger {
  /** Requests a round, because something changed that it should consider. */
  readonly requestRound: () => void;
}

/** The limits of stored values. */
export interface ValueLimits {
  /**
   * bytes: the largest value that the key-value store accepts under both its present and its announced
   * limits.
   */
  readonly valueBytes: number;
  /** Whether every controller can read runs that are stored in parts. */
  readonly maySplit: () => boolean;
}

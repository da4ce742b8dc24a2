/** Types that the modules of the cancellation subsystem and their callers share. */

/** A durable cancellation, as the holder of the job's shard is asked to acknowledge it. */
export interface Cancellation {
  readonly shardId: number;
  /** The revision of the claim under which the holder is asked. */
  readonly claim: number;
  readonly job: string;
  /** The revision at which the cancellation became durable. */
  readonly revision: number;
}

/**
 * A holder's record that it has seen all changes of the shared keys up to this revision, under this claim.
 */
export interface DurableAcknowledgement {
  readonly claim: number;
  readonly revision: number;
}

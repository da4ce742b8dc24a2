/** Types that the modules of the cancellation subsystem and their callers share. */

/** A durable cancellation that the holder of the job's shard is requested to acknowledge. */
export interface Cancellation {
  readonly shardId: number;
  /** The revision of the shard's claim that the requesting controller has read. */
  readonly claim: number;
  readonly job: string;
  /** The revision at which the cancellation became durable. */
  readonly revision: number;
}

/** A record that the holder of this claim has seen all changes of the shared keys up to this revision. */
export interface DurableAcknowledgement {
  readonly claim: number;
  readonly revision: number;
}

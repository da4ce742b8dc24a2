/** What the parts of the cancellation subsystem and its callers speak about. Types only. */

/** A durable cancellation, as it is put to the holder of the job's shard. */
export interface Cancellation {
  readonly shardId: number;
  /** The revision of the claim under which it is put. */
  readonly claim: number;
  readonly job: string;
  /** The revision at which it became durable. */
  readonly revision: number;
}

/** What a holder has recorded: under this claim it has seen the shared keys up to this revision. */
export interface DurableAcknowledgement {
  readonly claim: number;
  readonly revision: number;
}

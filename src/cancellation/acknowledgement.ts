/**
 * Determines whether a cancellation may be confirmed to users: reads the claim of the job's shard once the
 * cancellation is durable, collects the evidence that this controller already has about the holder of the
 * shard, and requests an acknowledgement from the holder if that evidence is not sufficient. No state of its
 * own; the users' API calls it for each cancellation and for each poll of a cancelled job.
 */
import * as Effect from 'effect/Effect';
import { readClaim } from '../claims/codec.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey, acknowledgementKey } from '../kv-store/keys.js';
import type { LinearizableReads } from '../kv-store/linearizable-reads.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { AcknowledgementClient, type PeerRequest } from './acknowledgement-client.js';
import { readDurableAcknowledgement } from './codec.js';
import { assessEvidence, type CancellationEvidence, type ConfirmedClaim } from './evidence.js';
import type { Cancellation } from './model.js';

/** What the acknowledgement of cancellations needs from the rest of the controller. */
export interface CancellationAcknowledgementDependencies {
  /** The name of this controller. */
  readonly ownNode: string;
  readonly store: KeyValueStore;
  readonly linearizableReads: LinearizableReads;
  readonly cache: Pick<WatchCache, 'get'>;
  /**
   * Passes a cancellation to the shard that this process holds under the claim of the cancellation; false:
   * this process does not hold the shard under that claim.
   */
  readonly acknowledge: (cancellation: Cancellation) => boolean;
  readonly request: PeerRequest;
  /** The shard summaries in the recent heartbeats of the peers. */
  readonly summaries: () => readonly ShardSummary[];
  /** Whether the controller is known to run a version that acknowledges cancellations. */
  readonly supportsAcknowledgement: (node: string) => boolean;
}

const NO_EVIDENCE: CancellationEvidence = {
  acknowledged: null,
  summary: null,
  durableAcknowledgement: null,
  stopsTasksBeforeLoading: false,
};

const heldClaim = (value: unknown, revision: number): ConfirmedClaim => ({
  _tag: 'held',
  node: readClaim(value).node,
  revision,
});

/** Determines whether a cancellation may be confirmed to users. */
export class CancellationAcknowledgement {
  private readonly acknowledgementClient: AcknowledgementClient;

  constructor(private readonly dependencies: CancellationAcknowledgementDependencies) {
    this.acknowledgementClient = new AcknowledgementClient(dependencies.request);
  }

  /**
   * Determines whether the cancellation that became durable at this revision may be confirmed to users. Must
   * be called after the cancellation became durable, since the claim must be read after that.
   */
  mayConfirmCancellation(shardId: number, job: string, revision: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const claim = yield* this.readClaim(shardId);
      const isConfirmedBy = (evidence: CancellationEvidence): boolean =>
        assessEvidence(revision, claim, evidence)._tag === 'confirmed';
      if (claim._tag !== 'held') return isConfirmedBy(NO_EVIDENCE);
      const known = this.knownEvidence(shardId, claim.node);
      if (isConfirmedBy(known)) return true;
      const cancellation: Cancellation = { shardId, claim: claim.revision, job, revision };
      const acknowledged = yield* this.askHolder(claim.node, cancellation);
      return isConfirmedBy({ ...known, acknowledged: acknowledged ? { claim: claim.revision } : null });
    });
  }

  /** Reads the shard's claim. The result is the claim as it was at some time after the call. */
  private readClaim(shardId: number): Effect.Effect<ConfirmedClaim> {
    return Effect.gen({ self: this }, function* () {
      const { cache, linearizableReads, store } = this.dependencies;
      const key = claimKey(String(shardId));
      const cached = cache.get(key);
      if (cached) {
        const versionCheck = yield* linearizableReads.confirm(key, cached.version);
        if (versionCheck === 'failed') return { _tag: 'unknown' } as const;
        if (versionCheck === 'same') return heldClaim(cached.value, cached.version);
      }
      const read = yield* store.get(key, 'user');
      switch (read._tag) {
        case 'failed':
          return { _tag: 'unknown' } as const;
        case 'absent':
          return { _tag: 'unclaimed' } as const;
        case 'found':
          return heldClaim(read.entry.value, read.entry.version);
      }
    });
  }

  /** Returns the evidence about the holder that is known without a request to the holder. */
  private knownEvidence(shardId: number, holder: string): CancellationEvidence {
    const { cache, summaries, supportsAcknowledgement } = this.dependencies;
    const recorded = cache.get(acknowledgementKey(String(shardId)));
    return {
      acknowledged: null,
      summary: summaries().find((summary) => summary.shardId === shardId) ?? null,
      durableAcknowledgement: recorded ? readDurableAcknowledgement(recorded.value) : null,
      stopsTasksBeforeLoading: supportsAcknowledgement(holder),
    };
  }

  private askHolder(holder: string, cancellation: Cancellation): Effect.Effect<boolean> {
    const { ownNode, acknowledge } = this.dependencies;
    return holder === ownNode
      ? Effect.sync(() => acknowledge(cancellation))
      : Effect.promise(() => this.acknowledgementClient.requestAcknowledgement(holder, cancellation));
  }
}

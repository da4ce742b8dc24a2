/**
 * Finds out whether users may be told of a cancellation: reads the claim of the job's shard once the
 * cancellation is durable, gathers what its holder let be known, and asks the holder where that is not
 * enough. No state of its own; the users' API calls it with each cancellation and each poll of a cancelled
 * job.
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

/** What the acknowledgement of cancellations needs of the rest of the controller. */
export interface CancellationAcknowledgementDependencies {
  /** This controller's name. */
  readonly ownNode: string;
  readonly store: KeyValueStore;
  readonly linearizableReads: LinearizableReads;
  readonly cache: Pick<WatchCache, 'get'>;
  /** Puts a cancellation to the shard held by this process under that claim; false: it does not hold it. */
  readonly acknowledge: (cancellation: Cancellation) => boolean;
  readonly request: PeerRequest;
  /** The summaries in the recent heartbeats of the peers. */
  readonly summaries: () => readonly ShardSummary[];
  /** Is the controller known to be of a version that acknowledges cancellations? */
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

/** Finds out whether users may be told of a cancellation. */
export class CancellationAcknowledgement {
  private readonly acknowledgementClient: AcknowledgementClient;

  constructor(private readonly dependencies: CancellationAcknowledgementDependencies) {
    this.acknowledgementClient = new AcknowledgementClient(dependencies.request);
  }

  /**
   * May users be told of the cancellation that is durable at this revision? To be asked after that, so that
   * the claim is read later.
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

  /** The shard's claim at a moment after the call. */
  private readClaim(shardId: number): Effect.Effect<ConfirmedClaim> {
    return Effect.gen({ self: this }, function* () {
      const { cache, linearizableReads, store } = this.dependencies;
      const key = claimKey(String(shardId));
      const copy = cache.get(key);
      if (copy) {
        const freshness = yield* linearizableReads.confirm(key, copy.version);
        if (freshness === 'failed') return { _tag: 'unknown' } as const;
        if (freshness === 'same') return heldClaim(copy.value, copy.version);
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

  /** What is known of the holder without asking it. */
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
    const { ownNode: me, acknowledge } = this.dependencies;
    return holder === me
      ? Effect.sync(() => acknowledge(cancellation))
      : Effect.promise(() => this.acknowledgementClient.requestAcknowledgement(holder, cancellation));
  }
}

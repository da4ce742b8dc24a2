import * as Effect from 'effect/Effect';
import { readClaim } from '../claims/codec.js';
import { Batcher } from '../concurrency/batcher.js';
import {
  ACKNOWLEDGEMENT_BATCH_DELAY_MS,
  MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT,
} from '../constants/cancellation.js';
import type { ShardSummary } from '../fleet/records.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { LinearizableReads } from '../kv-store/linearizable-reads.js';
import { claimKey, acknowledgementKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readAcknowledgement, readAcknowledgeReply, writeAcknowledgeRequest } from './codec.js';
import { assessEvidence, type FreshClaim } from './evidence.js';

/** A durable cancellation, as it is put to the holder of the job's share. */
export interface Cancellation {
  readonly shardId: number;
  /** The claim under which it is put. */
  readonly claim: number;
  readonly job: string;
  /** The revision at which it became durable. */
  readonly version: number;
}

/** What the acknowledgement of cancellations needs of the rest of the controller. */
export interface CancellationAcknowledgementInput {
  readonly me: string;
  readonly store: KeyValueStore;
  readonly fresh: LinearizableReads;
  readonly cache: Pick<WatchCache, 'get'>;
  /** Puts cancellations to the share held by this process under that claim; false: it does not hold it. */
  readonly acknowledge: (cancellation: Cancellation) => boolean;
  readonly ask: (node: string, path: string, body: unknown) => Promise<unknown>;
  readonly summaries: () => readonly ShardSummary[];
  readonly understands: (node: string) => boolean;
}

/** Finds out whether a cancellation may be told: reads the claim freshly and asks its holder. */
export class CancellationAcknowledgement {
  private readonly askers = new Map<string, Batcher<Cancellation, boolean>>();
  constructor(private readonly input: CancellationAcknowledgementInput) {}

  private asker(node: string): Batcher<Cancellation, boolean> {
    let asker = this.askers.get(node);
    if (!asker) {
      asker = new Batcher(
        ACKNOWLEDGEMENT_BATCH_DELAY_MS,
        MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT,
        async (list) =>
          readAcknowledgeReply(
            await this.input.ask(node, '/heed', writeAcknowledgeRequest(list)),
            list.length,
          ),
      );
      this.askers.set(node, asker);
    }
    return asker;
  }

  private claim(shardId: number): Effect.Effect<FreshClaim> {
    return Effect.gen({ self: this }, function* () {
      const key = claimKey(String(shardId));
      const copy = this.input.cache.get(key);
      if (copy) {
        const freshness = yield* this.input.fresh.confirm(key, copy.version);
        if (freshness === 'failed') return { _tag: 'unsure' } as const;
        if (freshness === 'same')
          return { _tag: 'held', node: readClaim(copy.value).node, version: copy.version } as const;
      }
      const read = yield* this.input.store.get(key, 'user');
      switch (read._tag) {
        case 'failed':
          return { _tag: 'unsure' } as const;
        case 'absent':
          return { _tag: 'free' } as const;
        case 'found':
          return {
            _tag: 'held',
            node: readClaim(read.entry.value).node,
            version: read.entry.version,
          } as const;
      }
    });
  }

  /**
   * May users be told of the cancellation that is durable at this revision? Asked after that, so the claim is
   * read later.
   */
  mayConfirmCancellation(shardId: number, job: string, version: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const claim = yield* this.claim(shardId);
      const evidence = { acknowledged: null, summary: null, mark: null, understands: false };
      if (claim._tag !== 'held') return assessEvidence(version, claim, evidence)._tag === 'assured';
      const cancellation: Cancellation = { shardId, claim: claim.version, job, version };
      const mark = this.input.cache.get(acknowledgementKey(String(shardId)));
      const known = {
        acknowledged: null,
        summary: this.input.summaries().find((summary) => summary.shardId === shardId) ?? null,
        mark: mark ? readAcknowledgement(mark.value) : null,
        understands: this.input.understands(claim.node),
      };
      if (assessEvidence(version, claim, known)._tag === 'assured') return true;
      const heeded =
        claim.node === this.input.me
          ? this.input.acknowledge(cancellation)
          : yield* Effect.promise(() => this.asker(claim.node).ask(cancellation));
      const acknowledged = heeded ? { claim: claim.version } : null;
      return assessEvidence(version, claim, { ...known, acknowledged })._tag === 'assured';
    });
  }
}

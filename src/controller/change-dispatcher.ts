/**
 * Passes each change of the shared keys to the subsystems that depend on it, in a fixed order. No state; the
 * listener of the watch cache calls it, in the order of the changes.
 */
import type { DurableAcknowledgements } from '../cancellation/durable-acknowledgement.js';
import type { OrderVerifier } from '../duties/order-verifier.js';
import type { DutyRegistry } from '../duties/duty-registry.js';
import type { BootBoundTypes } from '../fleet/boot-bound-types.js';
import type { ScarceTypes } from '../fleet/scarce-types.js';
import { readJobRecord } from '../jobs/job-record-codec.js';
import type { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { Shard } from '../placement/shard.js';
import type { Change } from '../kv-store/change-feed.js';
import { jobKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readDependencyList } from './dependency-list.js';

/** The notifications that a shard receives about changes. */
export type ShardListener = Pick<Shard, 'onMachineRecord' | 'onMachineGone' | 'onJobRecord' | 'onJobGone'>;

/** The subsystems that receive changes of the shared keys. */
export interface ChangeSubscribers {
  readonly cache: Pick<WatchCache, 'get'>;
  readonly relay: Pick<KeyValueStoreRelay, 'onSummary' | 'onOrders'>;
  readonly orderVerifier: Pick<OrderVerifier, 'noteClaim'>;
  readonly dutyRegistry: Pick<DutyRegistry, 'claimChanged'>;
  readonly shards: {
    onClaimChanged(claimName: string): void;
    forEach(action: (shard: ShardListener) => void): void;
  };
  readonly scarceTypes: Pick<ScarceTypes, 'note'>;
  readonly bootBoundTypes: Pick<BootBoundTypes, 'note'>;
  readonly pipelines: Pick<Pipelines, 'onJob' | 'onJobGone'>;
  readonly durableAcknowledgements: Pick<DurableAcknowledgements, 'noteCancellation'>;
  /** Returns the id of a team's shard. */
  readonly shardOf: (team: string) => number;
}

type ChangeOf<Tag extends Change['_tag']> = Extract<Change, { readonly _tag: Tag }>;

/** Passes changes to their subscribers. */
export class ChangeDispatcher {
  constructor(private readonly subscribers: ChangeSubscribers) {}

  /** Passes one change to its subscribers. */
  dispatch(change: Change): void {
    const { relay, shards } = this.subscribers;
    switch (change._tag) {
      case 'claimChanged':
        this.onClaim(change);
        break;
      case 'machineChanged':
        shards.forEach((shard) => shard.onMachineRecord(change.machine, change.record, change.version));
        break;
      case 'machineRemoved':
        shards.forEach((shard) => shard.onMachineGone(change.machine));
        break;
      case 'jobChanged':
        this.onJob(change);
        break;
      case 'jobRemoved':
        this.onJobRemoved(change);
        break;
      case 'dependencyListChanged':
        this.onDependencyList(change);
        break;
      case 'summaryRelayed':
        relay.onSummary(change.shardId, change.value);
        break;
      case 'ordersRelayed':
        relay.onOrders(change.shardId, change.value);
        break;
      case 'other':
        break;
    }
  }

  /**
   * Updates the duties before the shards, since a shard that this process takes requires the duties of its
   * claim.
   */
  private onClaim({ claimName, revision }: ChangeOf<'claimChanged'>): void {
    const { orderVerifier, dutyRegistry, shards } = this.subscribers;
    if (revision !== null) orderVerifier.noteClaim(claimName, revision);
    dutyRegistry.claimChanged(claimName);
    shards.onClaimChanged(claimName);
  }

  /**
   * Notifies the shards last, since their decisions about the job depend on the state of the other
   * subscribers.
   */
  private onJob({ job, record, version }: ChangeOf<'jobChanged'>): void {
    const { cache, scarceTypes, bootBoundTypes, pipelines, shards, shardOf } = this.subscribers;
    scarceTypes.note(record.spec);
    bootBoundTypes.note(record.spec);
    pipelines.onJob(job, record, readDependencyList(cache, record));
    if (record.cancelled)
      this.subscribers.durableAcknowledgements.noteCancellation(shardOf(record.spec.team), version);
    shards.forEach((shard) => shard.onJobRecord(record, version));
  }

  private onJobRemoved({ job }: ChangeOf<'jobRemoved'>): void {
    const { pipelines, shards } = this.subscribers;
    shards.forEach((shard) => shard.onJobGone(job));
    pipelines.onJobGone(job);
  }

  /**
   * Handles a part of a dependency list. The watch may show this part before or after the record of its job;
   * without the record, nothing is done until the record arrives.
   */
  private onDependencyList({ job }: ChangeOf<'dependencyListChanged'>): void {
    const { cache, pipelines } = this.subscribers;
    const entry = cache.get(jobKey(job));
    if (!entry) return;
    const record = readJobRecord(entry.value);
    pipelines.onJob(record.spec.id, record, readDependencyList(cache, record));
  }
}

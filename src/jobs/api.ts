import * as Effect from 'effect/Effect';
import { FINAL_CACHE, GANG_MAX_TASKS, RETRY_AFTER_S } from '../constants.js';
import type { Call, Reply } from '../http.js';
import { quotaRoom, type Limit } from '../placement/pack.js';
import type { Store } from '../store/client.js';
import { FreshReads } from '../store/fresh.js';
import { finalKey, jobKey } from '../store/keys.js';
import type { Mirror } from '../store/mirror.js';
import {
  isJobId,
  readFinalRecord,
  readJobRecord,
  readSubmission,
  writeJobRecord,
  writeStatus,
  type JobStatus,
} from './codec.js';
import {
  fitsIn,
  typeAllowed,
  type Catalog,
  type FinalRecord,
  type JobRecord,
  type JobSpec,
} from './model.js';

export interface ApiInput {
  readonly store: Store;
  readonly fresh: FreshReads;
  readonly mirror: Pick<Mirror, 'get'>;
  readonly catalog: () => Catalog | null;
  readonly zones: readonly string[];
  readonly limits: ReadonlyMap<string, Limit>;
  /** May users be told of the cancellation that became durable at this revision? */
  readonly assured: (id: string, team: string, version: number) => Effect.Effect<boolean>;
  /** Task counts for display, from whoever holds the job's share; null: not to be had now. */
  readonly counts: (id: string, team: string) => { done: number; running: number } | null;
  readonly wall: () => number;
}

/** Why a job can never run, or null if it can. */
export const hopeless = (
  spec: JobSpec,
  catalog: Catalog,
  limits: ReadonlyMap<string, Limit>,
): string | null => {
  const limit = limits.get(spec.team);
  if (!limit) return `unknown team ${spec.team}`;
  const fits = [...catalog.values()].some(
    (type) =>
      typeAllowed(spec, type.name) &&
      fitsIn(spec, type) &&
      (spec.zone === null || type.zones.includes(spec.zone)),
  );
  if (!fits) return 'a task fits no allowed machine type';
  const together = spec.kind === 'array' ? 1 : spec.tasks;
  if (quotaRoom(spec, limit, { cpus: 0, gpus: 0 }, together) < together)
    return `more than the limit of team ${spec.team}`;
  if (spec.kind === 'gang' && spec.tasks > GANG_MAX_TASKS)
    return `a gang has at most ${GANG_MAX_TASKS} tasks`;
  return null;
};

/** Names of types that don't exist are dropped: a long list of them must not outgrow the job's record. */
export const knownTypes = (spec: JobSpec, catalog: Catalog): JobSpec =>
  spec.types === null
    ? spec
    : { ...spec, types: [...new Set(spec.types)].filter((type) => catalog.has(type)) };

const later: Reply = {
  status: 503,
  body: { error: 'not able to answer now' },
  headers: { 'retry-after': String(RETRY_AFTER_S) },
};

type Known =
  | { readonly _tag: 'active'; readonly record: JobRecord; readonly version: number }
  | { readonly _tag: 'final'; readonly final: FinalRecord }
  | { readonly _tag: 'never' }
  | { readonly _tag: 'unsure' };

export class UsersApi {
  private readonly finals = new Map<string, FinalRecord>();
  constructor(private readonly input: ApiInput) {}

  private remember(id: string, final: FinalRecord): void {
    this.finals.set(id, final);
    if (this.finals.size <= FINAL_CACHE) return;
    const oldest = this.finals.keys().next().value;
    if (oldest !== undefined) this.finals.delete(oldest);
  }

  private readFinal(id: string): Effect.Effect<Known> {
    return Effect.gen({ self: this }, function* () {
      const final = yield* this.input.store.get(finalKey(id), 'user');
      if (final._tag === 'failed') return { _tag: 'unsure' } as const;
      if (final._tag === 'absent') return { _tag: 'never' } as const;
      const record = readFinalRecord(final.item.value);
      this.remember(id, record);
      return { _tag: 'final', final: record } as const;
    });
  }

  /**
   * What is surely known of a job now. A final record never changes, so one seen before will do; everything
   * else is read fresh, most often by confirming this node's copy. A job's record goes to its final record in
   * one transaction, so reading final, active, final misses nothing.
   */
  private look(id: string): Effect.Effect<Known> {
    return Effect.gen({ self: this }, function* () {
      const cached = this.finals.get(id);
      if (cached) return { _tag: 'final', final: cached } as const;
      const copy = this.input.mirror.get(jobKey(id));
      if (copy) {
        const freshness = yield* this.input.fresh.confirm(copy.key, copy.version);
        if (freshness === 'failed') return { _tag: 'unsure' } as const;
        if (freshness === 'same')
          return { _tag: 'active', record: readJobRecord(copy.value), version: copy.version } as const;
      }
      const before = yield* this.readFinal(id);
      if (before._tag !== 'never') return before;
      const active = yield* this.input.store.get(jobKey(id), 'user');
      if (active._tag === 'failed') return { _tag: 'unsure' } as const;
      if (active._tag === 'absent') return yield* this.readFinal(id);
      return {
        _tag: 'active',
        record: readJobRecord(active.item.value),
        version: active.item.version,
      } as const;
    });
  }

  /** What a user is told of a job. Of a cancellation only once the job's holder can't fail to act on it. */
  private state(id: string, known: Known): Effect.Effect<Reply> {
    switch (known._tag) {
      case 'unsure':
        return Effect.succeed(later);
      case 'never':
        return Effect.succeed({ status: 404, body: { error: `no job ${id}` } });
      case 'final': {
        const done = known.final.state === 'done' ? known.final.tasks : 0;
        return Effect.succeed({
          status: 200,
          body: writeStatus(id, known.final.state, { done, running: 0 }),
        });
      }
      case 'active': {
        const { record } = known;
        const counts = this.input.counts(id, record.spec.team) ?? { done: 0, running: 0 };
        if (!record.cancelled) {
          const status: JobStatus = counts.running > 0 ? 'running' : 'pending';
          return Effect.succeed({ status: 200, body: writeStatus(id, status, counts) });
        }
        const told: Reply = { status: 200, body: writeStatus(id, 'cancelled', counts) };
        return Effect.map(this.input.assured(id, record.spec.team, known.version), (assured) =>
          assured ? told : later,
        );
      }
    }
  }

  private submit(value: unknown): Effect.Effect<Reply> {
    return Effect.gen({ self: this }, function* () {
      const read = readSubmission(value);
      if (read._tag === 'malformed') return { status: 400, body: { error: read.why } };
      const catalog = this.input.catalog();
      const spec = catalog ? knownTypes(read.spec, catalog) : read.spec;
      const why = catalog ? hopeless(spec, catalog, this.input.limits) : null;
      if (!catalog || why !== null) {
        // A repeat of an accepted job is answered as such, whatever its body says.
        const known = yield* this.look(spec.id);
        if (known._tag === 'active' || known._tag === 'final') return yield* this.state(spec.id, known);
        if (!catalog || known._tag === 'unsure') return later;
        return { status: 422, body: { error: why } };
      }
      const result = yield* this.input.store.txn(
        [
          { key: jobKey(spec.id), version: 0 },
          { key: finalKey(spec.id), version: 0 },
        ],
        [
          {
            _tag: 'put',
            key: jobKey(spec.id),
            value: writeJobRecord({ spec, at: this.input.wall(), cancelled: false, cancelledAt: null }),
          },
        ],
        'user',
      );
      switch (result._tag) {
        case 'committed':
          return { status: 201, body: writeStatus(spec.id, 'pending') };
        case 'conflict':
          return yield* this.state(spec.id, yield* this.look(spec.id));
        case 'noLease':
        case 'refused':
        case 'unknown':
          return later;
      }
    });
  }

  private cancel(id: string): Effect.Effect<Reply> {
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < 4; tries += 1) {
        const known = yield* this.look(id);
        if (known._tag !== 'active' || known.record.cancelled) return yield* this.state(id, known);
        const record = { ...known.record, cancelled: true, cancelledAt: this.input.wall() };
        const result = yield* this.input.store.txn(
          [{ key: jobKey(id), version: known.version }],
          [{ _tag: 'put', key: jobKey(id), value: writeJobRecord(record) }],
          'user',
        );
        if (result._tag === 'committed')
          return yield* this.state(id, { _tag: 'active', record, version: result.revision });
        if (result._tag !== 'conflict') return later;
      }
      return later;
    });
  }

  handle(call: Call, rest: readonly string[]): Effect.Effect<Reply> {
    const [id, verb] = rest;
    if (id === undefined) {
      if (call.method !== 'POST') return Effect.succeed({ status: 405, headers: { allow: 'POST' } });
      if (call.body._tag !== 'value')
        return Effect.succeed({ status: 400, body: { error: `body: ${call.body._tag}` } });
      return this.submit(call.body.value);
    }
    if (rest.length > 2 || (verb !== undefined && verb !== 'abort')) return Effect.succeed({ status: 404 });
    const wanted = verb === undefined ? 'GET' : 'POST';
    if (call.method !== wanted) return Effect.succeed({ status: 405, headers: { allow: wanted } });
    if (!isJobId(id)) return Effect.succeed({ status: 404, body: { error: `no job ${id.slice(0, 64)}` } });
    return verb === undefined
      ? Effect.flatMap(this.look(id), (known) => this.state(id, known))
      : this.cancel(id);
  }
}

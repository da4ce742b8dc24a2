import * as Effect from 'effect/Effect';
import {
  CACHE_FRESHNESS_MS,
  FOLLOWED_IDS_OVERHEAD_BYTES,
  VALUE_FILL_FRACTION,
} from '../constants/key-value-store.js';
import { MAX_CONCURRENT_FINAL_RECORD_READS } from '../constants/pipelines.js';
import { CANCELLATION_ATTEMPTS, MAX_ECHOED_ID_CHARS, RETRY_AFTER_S } from '../constants/users-api.js';
import type { ServerRequest, ServerResponse } from '../http/model.js';
import { tasksWithinLimit, type TeamLimit } from '../placement/team-limits.js';
import { packIds, splitIds } from '../pipelines/codec.js';
import type { FinalRecordCache } from '../pipelines/final-record-cache.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { Write } from '../kv-store/model.js';
import type { LinearizableReads } from '../kv-store/linearizable-reads.js';
import { finalKey, dependencyListKey, jobKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import {
  isJobId,
  jsonBytes,
  readJobRecord,
  readSubmission,
  writeCancelledRecord,
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

/** What the users' API needs of the rest of the controller. */
export interface ApiInput {
  readonly store: KeyValueStore;
  readonly fresh: LinearizableReads;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly catalog: () => Catalog | null;
  readonly zones: readonly string[];
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** May users be told of the cancellation that became durable at this revision? */
  readonly mayConfirmCancellation: (id: string, team: string, version: number) => Effect.Effect<boolean>;
  readonly finalRecords: FinalRecordCache;
  readonly pipelines: Pick<Pipelines, 'readiness' | 'resolve'>;
  /** Every node understands jobs that follow others. */
  readonly takesPipelines: () => boolean;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** ms: how long ago this node's copy of the shared keys was surely whole. */
  readonly copyAgeMs: () => number;
  /** Task counts for display, from whoever holds the job's share; null: not to be had now. */
  readonly counts: (id: string, team: string) => { done: number; running: number } | null;
  readonly wall: () => number;
}

/** Why a job can never run, or null if it can. */
export const unplaceable = (
  spec: JobSpec,
  catalog: Catalog,
  limits: ReadonlyMap<string, TeamLimit>,
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
  if (tasksWithinLimit(spec, limit, { cpus: 0, gpus: 0 }, together) < together)
    return `more than the limit of team ${spec.team}`;
  return null;
};

/** Names of types that don't exist are dropped: a long list of them must not outgrow the job's record. */
export const knownTypes = (spec: JobSpec, catalog: Catalog): JobSpec =>
  spec.types === null
    ? spec
    : { ...spec, types: [...new Set(spec.types)].filter((type) => catalog.has(type)) };

const later: ServerResponse = {
  status: 503,
  body: { error: 'not able to answer now' },
  headers: { 'retry-after': String(RETRY_AFTER_S) },
};

type Known =
  | { readonly _tag: 'active'; readonly record: JobRecord; readonly version: number }
  | { readonly _tag: 'final'; readonly final: FinalRecord }
  | { readonly _tag: 'never' }
  | { readonly _tag: 'unsure' };

/** The users' API: submissions, polls and cancellations. */
export class UsersApi {
  constructor(private readonly input: ApiInput) {}

  private readFinal(id: string): Effect.Effect<Known> {
    return Effect.map(this.input.finalRecords.read(id), (read): Known => {
      switch (read._tag) {
        case 'failed':
          return { _tag: 'unsure' };
        case 'absent':
          return { _tag: 'never' };
        case 'found':
          return { _tag: 'final', final: read.final };
      }
    });
  }

  /**
   * What is surely known of a job now. A final record never changes, so one seen before will do; everything
   * else is read fresh, most often by confirming this node's copy. A job's record goes to its final record in
   * one transaction, so reading final, active, final misses nothing.
   */
  private look(id: string): Effect.Effect<Known> {
    return Effect.gen({ self: this }, function* () {
      const cached = this.input.finalRecords.get(id);
      if (cached) return { _tag: 'final', final: cached } as const;
      const copy = this.input.cache.get(jobKey(id));
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
        record: readJobRecord(active.entry.value),
        version: active.entry.version,
      } as const;
    });
  }

  /** What a user is told of a job. Of a cancellation only once the job's holder can't fail to act on it. */
  private state(id: string, known: Known): Effect.Effect<ServerResponse> {
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
        if (!record.cancelled && record.dependsOn.length + record.parts > 0 && counts.running === 0)
          return this.waiting(id, known);
        if (!record.cancelled) {
          const status: JobStatus = counts.running > 0 ? 'running' : 'pending';
          return Effect.succeed({ status: 200, body: writeStatus(id, status, counts) });
        }
        const told: ServerResponse = { status: 200, body: writeStatus(id, 'cancelled', counts) };
        return Effect.map(
          this.input.mayConfirmCancellation(id, record.spec.team, known.version),
          (mayConfirmCancellation) => (mayConfirmCancellation ? told : later),
        );
      }
    }
  }

  /**
   * A job that follows others, none of whose tasks runs: is one of those cancelled, so is this one, durably,
   * before it is said.
   */
  private waiting(id: string, known: Known & { readonly _tag: 'active' }): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      const { record, version } = known;
      const stands = this.input.pipelines.readiness(id);
      if (stands._tag === 'waiting') {
        if (this.input.copyAgeMs() > CACHE_FRESHNESS_MS) return later;
        if (!(yield* this.input.pipelines.resolve(id))) return later;
      }
      if (this.input.pipelines.readiness(id)._tag !== 'doomed') {
        const counts = this.input.counts(id, record.spec.team) ?? { done: 0, running: 0 };
        return { status: 200, body: writeStatus(id, counts.running > 0 ? 'running' : 'pending', counts) };
      }
      return (yield* this.callOff(id, record, version)) ?? later;
    });
  }

  /**
   * Makes a cancellation durable; what it then says is what is known then. Null: the record has changed
   * meanwhile.
   */
  private callOff(id: string, before: JobRecord, version: number): Effect.Effect<ServerResponse | null> {
    return Effect.gen({ self: this }, function* () {
      const record = { ...before, cancelled: true, cancelledAt: this.input.wall() };
      const result = yield* this.input.store.compareAndSwap(
        [{ key: jobKey(id), version }],
        [{ _tag: 'put', key: jobKey(id), value: writeCancelledRecord(record, this.input.valueBytes) }],
        'user',
      );
      if (result._tag === 'committed')
        return yield* this.state(id, { _tag: 'active', record, version: result.revision });
      return result._tag === 'conflict' ? null : later;
    });
  }

  /** Was each of these ever accepted? `unsure`: it can't be said now. */
  private accepted(ids: readonly string[]): Effect.Effect<'all' | 'unsure' | { readonly never: string }> {
    return Effect.gen({ self: this }, function* () {
      // What this node's copy shows was accepted; only of the others it must be read.
      const others = ids.filter(
        (id) => !this.input.cache.get(jobKey(id)) && !this.input.finalRecords.get(id),
      );
      const looks = yield* Effect.forEach(others, (id) => this.look(id), {
        concurrency: MAX_CONCURRENT_FINAL_RECORD_READS,
      });
      const never = others.find((_, index) => looks[index]?._tag === 'never');
      if (never !== undefined) return { never };
      return looks.some((known) => known._tag === 'unsure') ? 'unsure' : 'all';
    });
  }

  /** Why a job that follows these is not taken, or null. A repeat of an accepted job is answered as such. */
  private refuses(id: string, follows: readonly string[]): Effect.Effect<ServerResponse | null> {
    return Effect.gen({ self: this }, function* () {
      const answer = this.input.takesPipelines() ? yield* this.accepted(follows) : 'unsure';
      if (answer === 'all' && !follows.includes(id)) return null;
      const known = yield* this.look(id);
      if (known._tag === 'active' || known._tag === 'final') return yield* this.state(id, known);
      if (known._tag === 'unsure' || answer === 'unsure') return later;
      const never = typeof answer === 'object' ? answer.never : id;
      return { status: 422, body: { error: `never accepted: ${never}` } };
    });
  }

  /** The record of a new job and what it takes beside it, or null when they don't fit in one transaction. */
  private records(spec: JobSpec, follows: readonly string[]): readonly Write[] | null {
    const plain = {
      spec,
      at: this.input.wall(),
      cancelled: false,
      cancelledAt: null,
      dependsOn: [],
      parts: 0,
    };
    const put = (key: string, value: unknown): Write => ({ _tag: 'put', key, value });
    const room = this.input.valueBytes * VALUE_FILL_FRACTION;
    const whole = writeJobRecord({ ...plain, dependsOn: follows });
    if (jsonBytes(whole) <= room) return [put(jobKey(spec.id), whole)];
    const parts = splitIds(follows, room - FOLLOWED_IDS_OVERHEAD_BYTES).map((ids, part) =>
      put(dependencyListKey(spec.id, part), packIds(ids)),
    );
    const record = writeJobRecord({ ...plain, parts: parts.length });
    if (jsonBytes(record) > this.input.valueBytes || parts.length + 1 > this.input.store.maxTransactionWrites)
      return null;
    return [...parts, put(jobKey(spec.id), record)];
  }

  private submit(value: unknown): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      const read = readSubmission(value);
      if (read._tag === 'malformed') return { status: 400, body: { error: read.why } };
      const catalog = this.input.catalog();
      const spec = catalog ? knownTypes(read.spec, catalog) : read.spec;
      const why = catalog ? unplaceable(spec, catalog, this.input.limits) : null;
      if (!catalog || why !== null) {
        // A repeat of an accepted job is answered as such, whatever its body says.
        const known = yield* this.look(spec.id);
        if (known._tag === 'active' || known._tag === 'final') return yield* this.state(spec.id, known);
        if (!catalog || known._tag === 'unsure') return later;
        return { status: 422, body: { error: why } };
      }
      const { follows } = read;
      if (follows.length > 0) {
        const refused = yield* this.refuses(spec.id, follows);
        if (refused !== null) return refused;
      }
      const records = this.records(spec, follows);
      if (records === null) return { status: 422, body: { error: 'too long to be kept' } };
      const result = yield* this.input.store.compareAndSwap(
        [
          { key: jobKey(spec.id), version: 0 },
          { key: finalKey(spec.id), version: 0 },
        ],
        records,
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

  private cancel(id: string): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < CANCELLATION_ATTEMPTS; tries += 1) {
        const known = yield* this.look(id);
        if (known._tag !== 'active' || known.record.cancelled) return yield* this.state(id, known);
        const reply = yield* this.callOff(id, known.record, known.version);
        if (reply !== null) return reply;
      }
      return later;
    });
  }

  handle(call: ServerRequest, rest: readonly string[]): Effect.Effect<ServerResponse> {
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
    if (!isJobId(id))
      return Effect.succeed({ status: 404, body: { error: `no job ${id.slice(0, MAX_ECHOED_ID_CHARS)}` } });
    return verb === undefined
      ? Effect.flatMap(this.look(id), (known) => this.state(id, known))
      : this.cancel(id);
  }
}

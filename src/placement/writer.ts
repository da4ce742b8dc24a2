import type { LeftOver } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  COMMITS_AT_ONCE,
  IMAGES_RECORD_BYTES,
  STORE_RETRY_MS,
  TXN_BYTES,
  VALUE_FILL,
  WRITE_FRAME_BYTES,
} from '../constants.js';
import { writeMachineRecord } from '../fleet/records.js';
import { writeFinalRecord } from '../jobs/codec.js';
import type { FinalRecord, FinalState } from '../jobs/model.js';
import { log } from '../log.js';
import type { Rank } from '../store/rate-limiter.js';
import type { Condition, Store, TxnResult, Write } from '../store/client.js';
import { claimKey, finalKey, followsKey, jobKey, machineKey, runKey, runPartKey } from '../store/keys.js';
import {
  durableKeys,
  prepared,
  runRecord,
  storeRun,
  validating,
  type RunRecord,
  type StoredRun,
} from './records.js';
import type { Chunk, ShareJob, ShareMachine } from './state.js';

/** What the writer needs of its share. */
export interface WriterInput {
  readonly store: Store;
  readonly slot: number;
  readonly claim: number;
  readonly wall: () => number;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every node reads runs that are parted. */
  readonly maySplit: () => boolean;
  /** Another holder's claim showed up in a condition. */
  readonly lost: () => void;
  readonly isLost: () => boolean;
}

/** Jobs whose final records are durable, and runs that are left to clear away. */
export interface Finished {
  readonly done: readonly { readonly job: ShareJob; readonly final: FinalRecord }[];
  readonly leftOver: readonly LeftOver[];
}

/** What a machine's record is to say. */
export interface MachineAssignment {
  readonly machine: ShareMachine;
  readonly share: number;
  /** Why it is to be released; none: it stays in use. */
  readonly release?: string;
}

/** One run of a job's tasks, as it is to be written now. */
export interface RunWrite {
  readonly job: ShareJob;
  readonly chunk: number;
  readonly record: RunRecord;
  readonly stored: StoredRun;
}

/** The most recently used images of a machine, as many as its record has room for beside the rest. */
export const recentImages = (images: ReadonlySet<string>, room: number): readonly string[] => {
  const recent: string[] = [];
  let bytes = 0;
  for (const image of [...images].reverse()) {
    bytes += JSON.stringify(image).length + 1;
    if (bytes > room) break;
    recent.unshift(image);
  }
  return recent;
};

/** Guess of a run record's size on the wire: a binding is an index, a machine's name and an attempt. */
export const sizeOf = (record: RunRecord): number => 120 + record.bindings.length * 40;

/** bytes on the wire, as the protocol measures them, of a run with its parts, its keys and its condition. */
const storedBytes = (stored: StoredRun): number =>
  [stored.record, ...stored.parts].reduce<number>(
    (sum, value) => sum + JSON.stringify(value).length + WRITE_FRAME_BYTES,
    0,
  );

/** Every durable change of a share: conditional on its claim, carried to a known end, several side by side. */
export class Writer {
  private running = 0;
  private readonly queue: (() => void)[] = [];
  constructor(private readonly input: WriterInput) {}

  private guard(): Condition {
    return { key: claimKey(String(this.input.slot)), version: this.input.claim };
  }

  /** Transactions under way are few: each has its time limit, which waiting for a socket would use up. */
  private async slotted<A>(work: () => Promise<A>): Promise<A> {
    if (this.running >= COMMITS_AT_ONCE)
      await new Promise<void>((resolve) => {
        this.queue.push(resolve);
      });
    else this.running += 1;
    try {
      return await work();
    } finally {
      const next = this.queue.shift();
      if (next) next();
      else this.running -= 1;
    }
  }

  /**
   * Carries a transaction to a known end. Without an answer it may still be applied later, so the same one
   * is sent again until it is committed or can no longer be: every write is conditional on the version of a
   * key that only this holder changes (`witness`), which tells a late first copy from somebody else's change.
   */
  private surely(
    when: readonly Condition[],
    writes: readonly Write[],
    witness: string,
    rank: Rank,
  ): Promise<TxnResult> {
    return this.slotted(() => Effect.runPromise(this.attempts(when, writes, witness, rank)));
  }

  private attempts(
    when: readonly Condition[],
    writes: readonly Write[],
    witness: string,
    rank: Rank,
  ): Effect.Effect<TxnResult> {
    return Effect.gen({ self: this }, function* () {
      let unsure = false;
      for (;;) {
        if (this.input.isLost() && !unsure) return { _tag: 'refused', why: 'lost' };
        const result = yield* this.input.store.txn([this.guard(), ...when], writes, rank);
        switch (result._tag) {
          case 'committed':
            return result;
          case 'noLease':
            return result;
          case 'refused':
            if (!unsure) return result;
            break;
          case 'unknown':
            unsure = true;
            break;
          case 'conflict': {
            if (result.failed.includes(this.guard().key)) {
              this.input.lost();
              return result;
            }
            if (!unsure) return result;
            const now = yield* this.input.store.get(witness, rank);
            const before = when.find((condition) => condition.key === witness)?.version ?? 0;
            if (now._tag === 'found' && now.item.version !== before) {
              return { _tag: 'committed', revision: now.item.version };
            }
            if (now._tag === 'absent' && before !== 0) return { _tag: 'committed', revision: 0 };
            if (now._tag !== 'failed') return result;
            break;
          }
        }
        if (this.input.isLost()) return { _tag: 'refused', why: 'lost' };
        yield* Effect.sleep(STORE_RETRY_MS);
      }
    });
  }

  runWrite(job: ShareJob, chunk: number): RunWrite {
    const record = runRecord(job, chunk);
    const bytes = this.input.valueBytes * VALUE_FILL;
    const stored = storeRun(record, chunk, bytes, this.input.maySplit());
    const keeps = chunk === 0 && job.validAttempt > 0;
    return { job, chunk, record, stored: keeps ? validating(stored, job.validAttempt) : stored };
  }

  private changesOf(write: RunWrite): number {
    return 1 + Math.max(write.stored.parts.length, write.job.chunks.get(write.chunk)?.parts ?? 0);
  }

  /** Runs in as few transactions as they fit in; each batch is whole. */
  batches<T extends { readonly write: RunWrite }>(entries: readonly T[]): readonly (readonly T[])[] {
    const batches: T[][] = [];
    let batch: T[] = [];
    let bytes = 0;
    let changes = 0;
    for (const entry of entries) {
      const size = sizeOf(entry.write.record);
      const more = this.changesOf(entry.write);
      if (batch.length > 0 && (changes + more > this.input.store.batchOps || bytes + size > TXN_BYTES / 2)) {
        batches.push(batch);
        batch = [];
        bytes = 0;
        changes = 0;
      }
      batch.push(entry);
      bytes += size;
      changes += more;
    }
    if (batch.length > 0) batches.push(batch);
    return batches;
  }

  /** Writes runs in one transaction; while it is under way nothing else writes runs of these jobs. */
  async commitRuns(writes: readonly RunWrite[], rank: Rank): Promise<boolean> {
    const first = writes[0];
    if (!first) return true;
    const key = (write: RunWrite): string => runKey(this.input.slot, write.job.spec.id, write.chunk);
    const jobs = new Set(writes.map((write) => write.job));
    const chunks = writes.map((write): Chunk => {
      const known = write.job.chunks.get(write.chunk);
      if (known) {
        known.dirtyFrom = null;
        return known;
      }
      const fresh: Chunk = { version: 0, parts: 0, durable: new Set(), dirtyFrom: null };
      write.job.chunks.set(write.chunk, fresh);
      return fresh;
    });
    for (const job of jobs) job.writing += 1;
    const result = await this.surely(
      [
        ...[...jobs].map((job) => ({ key: jobKey(job.spec.id), version: job.version })),
        ...writes.map((write, index) => ({ key: key(write), version: chunks[index]?.version ?? 0 })),
      ],
      writes.flatMap((write, index) => this.changes(write, chunks[index]?.parts ?? 0)),
      key(first),
      rank,
    );
    for (const job of jobs) job.writing -= 1;
    const committed = result._tag === 'committed';
    writes.forEach((write, index) => {
      const chunk = chunks[index];
      if (!chunk) return;
      if (committed) {
        chunk.version = result.revision;
        chunk.parts = write.stored.parts.length;
        chunk.durable = durableKeys(write.job.spec.id, write.record);
      } else chunk.dirtyFrom ??= 0;
    });
    if (result._tag === 'conflict') log.debug({ event: 'bind.conflict', failed: result.failed });
    return committed;
  }

  private fitOneTransaction(writes: readonly RunWrite[]): boolean {
    let changes = 0;
    let bytes = 0;
    for (const write of writes) {
      changes += this.changesOf(write);
      bytes += storedBytes(write.stored);
    }
    return changes <= this.input.store.txnOps && bytes <= TXN_BYTES;
  }

  /** Binds a gang: in one transaction, or, where that can't hold it, by one that makes valid what was prepared. */
  async commitGang(job: ShareJob, writes: readonly RunWrite[], rank: Rank): Promise<boolean> {
    const [first, ...others] = writes;
    if (!first || first.chunk !== 0 || this.fitOneTransaction(writes)) return this.commitRuns(writes, rank);
    // No transaction holds it, and what is prepared an earlier version would take for bound: it waits for the upgrade.
    if (!this.input.maySplit()) return false;
    // Nothing else writes its runs in between.
    job.writing += 1;
    try {
      const entries = others.map((write) => ({ write: { ...write, stored: prepared(write.stored) } }));
      for (const batch of this.batches(entries)) {
        const ready = await this.commitRuns(
          batch.map((entry) => entry.write),
          rank,
        );
        if (!ready) return this.unprepared(job);
      }
      const before = job.validAttempt;
      job.validAttempt = job.attempt;
      const bound = await this.commitRuns(
        [{ ...first, stored: validating(first.stored, job.attempt) }],
        rank,
      );
      if (bound) return true;
      job.validAttempt = before;
      return this.unprepared(job);
    } finally {
      job.writing -= 1;
    }
  }

  /** What was prepared and is not valid is written over. */
  private unprepared(job: ShareJob): false {
    for (const chunk of job.chunks.values()) chunk.dirtyFrom ??= 0;
    return false;
  }

  /** A run's record with its parts, and parts of the last one that are no more. All change together, so the record's
   *  revision guards them. */
  private changes(write: RunWrite, before: number): readonly Write[] {
    const { job, chunk, stored } = write;
    const partKey = (part: number): string => runPartKey(this.input.slot, job.spec.id, chunk, part);
    return [
      { _tag: 'put', key: runKey(this.input.slot, job.spec.id, chunk), value: stored.record },
      ...stored.parts.map((value, part): Write => ({ _tag: 'put', key: partKey(part), value })),
      ...Array.from({ length: Math.max(0, before - stored.parts.length) }, (_, k): Write => ({
        _tag: 'delete',
        key: partKey(stored.parts.length + k),
      })),
    ];
  }

  /** How many changes the final record of a job takes, with all its runs. */
  finalSize(job: ShareJob): number {
    let parts = job.parts;
    for (const chunk of job.chunks.values()) parts += 1 + chunk.parts;
    return 2 + parts;
  }

  /** Final records of jobs in one transaction. Returns those that are durable, with runs left to clear away. */
  async finish(jobs: readonly { readonly job: ShareJob; readonly state: FinalState }[]): Promise<Finished> {
    const first = jobs[0];
    if (!first) return { done: [], leftOver: [] };
    const leftOver: LeftOver[] = [];
    const writes: Write[] = [];
    const finals = jobs.map(({ job, state }) => ({
      job,
      final: { state, at: this.input.wall(), tasks: job.spec.tasks },
    }));
    for (const { job, final } of finals) {
      job.finishing = true;
      writes.push(
        { _tag: 'put', key: finalKey(job.spec.id), value: writeFinalRecord(final) },
        { _tag: 'delete', key: jobKey(job.spec.id) },
      );
    }
    for (const key of jobs.flatMap(({ job }) => this.keysOf(job))) {
      if (writes.length < this.input.store.txnOps) writes.push({ _tag: 'delete', key: key.key });
      else leftOver.push(key);
    }
    const result = await this.surely(
      jobs.flatMap(({ job }) => [
        { key: jobKey(job.spec.id), version: job.version },
        // Only the holder writes it, so it tells whether an unanswered copy was applied; a user's late cancellation
        // changes the job's record too, and would pass for it.
        { key: finalKey(job.spec.id), version: 0 },
      ]),
      writes,
      finalKey(first.job.spec.id),
      'bind',
    );
    if (result._tag !== 'committed') {
      for (const { job } of jobs) {
        job.finishing = false;
        if (
          result._tag === 'conflict' &&
          result.failed.some((key) => key === jobKey(job.spec.id) || key === finalKey(job.spec.id))
        )
          job.finishAlone = true;
      }
      return { done: [], leftOver: [] };
    }
    for (const { job, state } of jobs)
      log.info({ event: 'job.final', job: job.spec.id, state, ageMs: this.input.wall() - job.at });
    return { done: finals, leftOver };
  }

  /** Everything that is stored of a job beside its record. */
  private keysOf(job: ShareJob): readonly LeftOver[] {
    const runs = [...job.chunks].flatMap(([number, chunk]): readonly LeftOver[] => {
      // The parts of a run are written together with its record. One that was never written has no revision yet.
      const revision = chunk.version === 0 ? null : chunk.version;
      const parts = Array.from({ length: chunk.parts }, (_, part) =>
        runPartKey(this.input.slot, job.spec.id, number, part),
      );
      return [runKey(this.input.slot, job.spec.id, number), ...parts].map((key) => ({
        key,
        revision,
        reason: 'job over',
      }));
    });
    const follows = Array.from({ length: job.parts }, (_, part): LeftOver => ({
      key: followsKey(job.spec.id, part),
      revision: null,
      reason: 'job over',
    }));
    return [...runs, ...follows];
  }

  /** Machine records in one transaction. From its start nothing is placed on them, also while the end is open. */
  async assign(assignments: readonly MachineAssignment[], rank: Rank): Promise<boolean> {
    // No holder takes back a release intent: a late release request must not meet a machine that is in use again.
    const machines = assignments.filter(
      ({ machine, release }) => release !== undefined || !machine.releasing,
    );
    const first = machines[0];
    if (!first) return true;
    const sent = machines.map((entry) => ({ ...entry, version: entry.machine.version }));
    for (const { machine } of sent) machine.releasing = true;
    const imageBytes = Math.min(IMAGES_RECORD_BYTES, this.input.valueBytes / 4, TXN_BYTES / 2 / sent.length);
    const result = await this.surely(
      sent.map(({ machine, version }) => ({ key: machineKey(machine.id), version })),
      sent.map(({ machine, share, release }) => ({
        _tag: 'put',
        key: machineKey(machine.id),
        value: writeMachineRecord({
          share,
          type: machine.type,
          zone: machine.zone,
          spot: machine.spot,
          at: machine.since,
          releasing: release !== undefined,
          ...(release === undefined ? {} : { release: { reason: release, token: this.input.claim } }),
          addr: machine.addr,
          session: machine.session,
          images: recentImages(machine.images, imageBytes),
        }),
      })),
      machineKey(first.machine.id),
      rank,
    );
    if (result._tag === 'committed') return true;
    for (const { machine, version } of sent) {
      const failed = result._tag === 'conflict' && result.failed.includes(machineKey(machine.id));
      // One whose record has changed is set right by the change itself, when it is heard of.
      if (!failed && machine.version === version) machine.releasing = false;
    }
    return false;
  }

  /** Left-over keys, under the claim alone. They cost nothing but room, so a failure is simply tried again later. */
  async clear(keys: readonly string[]): Promise<boolean> {
    const result = await Effect.runPromise(
      this.input.store.txn(
        [this.guard()],
        keys.map((key) => ({ _tag: 'delete', key })),
        'work',
      ),
    );
    return result._tag === 'committed';
  }
}

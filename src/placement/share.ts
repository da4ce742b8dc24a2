import * as Effect from 'effect/Effect';
import {
  ASK_TASKS,
  BOOT_FACTOR,
  BOOT_SLACK_S,
  BOOT_USUAL,
  BOOT_USUAL_S,
  CLOCK_DRIFT,
  EVICT_AFTER_MS,
  FETCH_GUESS_S,
  FLUSH_MS,
  HELD_IDLE,
  IDLE_BOOTS,
  IDLE_BOOTS_MANY,
  IDLE_RETURN_S,
  JOB_BACKOFF_MAX_MS,
  JOB_BACKOFF_MS,
  JOB_ERRORS,
  LEASE_MARGIN_MS,
  ORDINARY_AFTER_GUARANTEED_S,
  ORDINARY_AFTER_S,
  PLACE_TICK_MS,
  REBUILD_MS,
  RESERVED_IDLE,
  SETTLE_EXTRA_S,
  SPOT_SILENT_MS,
  STORE_RETRY_MS,
  SUSPECT_MS,
  TXN_BYTES,
} from '../constants.js';
import {
  readMachineRecord,
  writeMachineRecord,
  type MachineRecord,
  type Need,
  type Spare,
  type Summary,
} from '../fleet/records.js';
import { readJobRecord, writeFinalRecord } from '../jobs/codec.js';
import {
  fitsIn,
  placeAllowed,
  typeAllowed,
  type Catalog,
  type Demand,
  type FinalState,
  type JobRecord,
  type JobSpec,
} from '../jobs/model.js';
import { log } from '../log.js';
import type { Condition, Item, Store, TxnResult, Write } from '../store/client.js';
import { claimKey, finalKey, jobKey, machineKey, parseRunKey, runKey, runsPrefix } from '../store/keys.js';
import type { Mirror } from '../store/mirror.js';
import type { Command, Report } from '../workers/model.js';
import type { DirectResult } from '../workers/line.js';
import { answer, readChanges } from '../workers/react.js';
import { chooseVictims, type Occupied } from './evict.js';
import { classOf, order, packAll, type Ask, type Limit, type Room, type Use } from './pack.js';
import {
  chunkOf,
  durableKeys,
  readRunRecord,
  runRecord,
  sameRecord,
  writeRunRecord,
  type RunRecord,
} from './records.js';
import {
  bindingKey,
  isFinished,
  type Binding,
  type Chunk,
  type ShareJob,
  type ShareMachine,
  type Stop,
} from './state.js';
import { tier, urgency, type Objectives } from './urgency.js';
import { nextPhase, onMachine, type Gone, type PhaseEvent } from './task.js';

export interface ShareInput {
  readonly store: Store;
  readonly mirror: Mirror;
  readonly catalog: () => Catalog | null;
  /** Some job of any share that may not use spot machines fits no other type. */
  readonly scarce: (type: string) => boolean;
  readonly shareOfTeam: ReadonlyMap<string, number>;
  readonly limits: ReadonlyMap<string, Limit>;
  readonly guarantees: ReadonlyMap<string, Use>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  readonly workers: { readonly lease_s: number; readonly gang_peer_s: number };
  /** May this node act for the share now, under this very claim? */
  readonly entitled: () => boolean;
  /** Has another share a free machine that would do for this job? */
  readonly spareElsewhere: (slot: number, spec: JobSpec) => boolean;
  readonly now: () => number;
  /** ms since the epoch; only for ages of jobs and machines, never for leases. */
  readonly wall: () => number;
  readonly direct: (
    addr: string,
    token: number,
    session: number,
    commands: readonly Command[],
  ) => Promise<DirectResult>;
  /** Something changed that the leader or a worker waits for. */
  readonly changed: () => void;
}

interface ChunkWrite {
  readonly job: ShareJob;
  readonly chunk: number;
  readonly record: RunRecord;
}

const size = (value: unknown): number => JSON.stringify(value).length;

/** One share of teams and machines, for as long as this process holds its claim. */
export class Share {
  readonly jobs = new Map<string, ShareJob>();
  readonly machines = new Map<string, ShareMachine>();
  /** Why nothing is placed yet: reading the state, or waiting for the machines to report. */
  stage: 'loading' | 'rebuilding' | 'placing' | 'lost' = 'loading';
  private readonly orphans: string[] = [];
  private loadedAt = 0;
  private flushedAt = 0;
  private wake: (() => void) | null = null;
  private poked = false;
  summary: Summary | null = null;

  constructor(
    readonly slot: number,
    readonly claim: number,
    private readonly input: ShareInput,
  ) {
    for (const item of input.mirror.under('w/m/')) this.onMachineRecord(item);
  }

  // ---- what the shared keys say -------------------------------------------------------------------------

  onMachineRecord(item: Item): void {
    const id = item.key.slice('w/m/'.length);
    const record = readMachineRecord(item.value);
    const known = this.machines.get(id);
    if (record.share !== this.slot) {
      if (known) this.dropMachine(known, { _tag: 'released' });
      return;
    }
    if (known) {
      if (known.version !== item.version) {
        known.version = item.version;
        known.confirmedToken = 0;
      }
      known.releasing = record.releasing;
      return;
    }
    const type = this.input.catalog()?.get(record.type);
    const machine: ShareMachine = {
      id,
      type: record.type,
      zone: record.zone,
      spot: record.spot,
      version: item.version,
      since: record.at,
      releasing: record.releasing,
      cordoned: false,
      addr: record.addr,
      session: 0,
      seq: 0,
      confirmedToken: 0,
      takenAt: this.input.now(),
      answeredAt: null,
      noticeAt: null,
      noticeS: null,
      unsureRuns: new Map(),
      answering: 0,
      reported: [],
      bound: new Map(),
      images: new Set(),
      health: { _tag: 'fine' },
      idleSince: null,
      total: type ?? { cpus: 0, gpus: 0, memoryGb: 0 },
      raiseToken: false,
    };
    this.machines.set(id, machine);
    if (record.addr !== '' && this.input.entitled()) this.greet(machine, record.session);
    this.poke();
  }

  onMachineGone(id: string): void {
    const machine = this.machines.get(id);
    // The record goes only after the cloud answered 200 to the machine's release.
    if (machine) this.dropMachine(machine, { _tag: 'released' });
  }

  private dropMachine(machine: ShareMachine, how: Gone): void {
    for (const binding of [...machine.bound.values()]) this.applyPhase(binding, { _tag: 'lost', how });
    this.machines.delete(machine.id);
    this.poke();
  }

  onJobRecord(item: Item): void {
    const record = readJobRecord(item.value);
    if (this.input.shareOfTeam.get(record.spec.team) !== this.slot || this.stage === 'loading') return;
    this.adoptJob(record, item.version);
    this.poke();
  }

  private adoptJob(record: JobRecord, version: number): ShareJob {
    let job = this.jobs.get(record.spec.id);
    if (!job) {
      job = {
        spec: record.spec,
        at: record.at,
        version,
        cancelled: false,
        done: new Set(),
        firstOpen: 0,
        bindings: new Map(),
        attempt: 0,
        chunks: new Map(),
        failedOn: new Set(),
        errors: 0,
        backoffUntil: 0,
        proven: false,
        finishing: false,
      };
      this.jobs.set(record.spec.id, job);
    }
    job.version = version;
    if (record.cancelled && !job.cancelled) {
      job.cancelled = true;
      for (const binding of job.bindings.values()) this.stop(binding, 'cancelled', 0);
    }
    return job;
  }

  onJobGone(id: string): void {
    const job = this.jobs.get(id);
    if (job && !job.finishing) log.error({ event: 'job.record_vanished', job: id });
  }

  // ---- takeover ------------------------------------------------------------------------------------------

  /** Reads the share's runs. The mirror already shows every change before the claim's own revision. */
  private readonly load: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const all = yield* this.input.store.list(runsPrefix(this.slot), 'user');
      if (all._tag === 'failed') {
        yield* Effect.sleep(STORE_RETRY_MS);
        continue;
      }
      this.stage = 'rebuilding';
      this.loadedAt = this.input.now();
      for (const item of this.input.mirror.under('w/j/')) {
        const record = readJobRecord(item.value);
        if (this.input.shareOfTeam.get(record.spec.team) === this.slot) this.adoptJob(record, item.version);
      }
      for (const item of all.items) this.loadRun(item);
      for (const machine of this.machines.values()) {
        for (const task of machine.reported) {
          const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
          if (binding) this.applyPhase(binding, { _tag: 'reported', state: task.state });
        }
      }
      log.info({
        event: 'share.loaded',
        share: this.slot,
        claim: this.claim,
        jobs: this.jobs.size,
        machines: this.machines.size,
      });
      return;
    }
  });

  private loadRun(item: Item): void {
    const name = parseRunKey(item.key);
    const job = name ? this.jobs.get(name.job) : undefined;
    if (!name || !job) {
      this.orphans.push(item.key);
      return;
    }
    const record = readRunRecord(item.value, name.chunk);
    job.attempt = Math.max(job.attempt, record.attempt);
    for (const index of record.done) job.done.add(index);
    const chunk: Chunk = { version: item.version, durable: durableKeys(job.spec.id, record), dirty: false };
    job.chunks.set(name.chunk, chunk);
    for (const bound of record.bindings) {
      const machine = this.machines.get(bound.machine);
      // No record of the machine: it was released, and that was answered 200.
      if (!machine) {
        chunk.dirty = true;
        continue;
      }
      const binding: Binding = {
        job: job.spec.id,
        index: bound.index,
        attempt: bound.attempt,
        machine: machine.id,
        phase: { _tag: 'bound' },
        stop: null,
        seen: null,
        boundAt: this.input.now(),
        runningAt: null,
      };
      job.bindings.set(bound.index, binding);
      machine.bound.set(bindingKey(job.spec.id, bound.index, bound.attempt), binding);
      if (job.cancelled) this.stop(binding, 'cancelled', 0);
    }
    if (job.spec.kind === 'gang' && job.bindings.size > 0 && job.bindings.size < job.spec.tasks)
      this.breakGang(job);
  }

  // ---- tasks -----------------------------------------------------------------------------------------------

  private stop(binding: Binding, reason: Stop['reason'], graceS: number): void {
    if (binding.stop && binding.stop.graceS <= graceS) return;
    binding.stop = { reason, graceS, since: this.input.now() };
    if (onMachine(binding.phase)) this.stops.add(binding);
    this.poke();
  }

  private readonly stops = new Set<Binding>();

  /**
   * Stops go out directly too: all members of a gang must hear of an orderly stop within the time that its
   * tasks wait for each other, and reports alone may take as long. A late copy stops only what is to stop anyway.
   */
  private sendStops(): void {
    const byMachine = new Map<string, Binding[]>();
    for (const binding of this.stops) {
      if (binding.stop && onMachine(binding.phase))
        byMachine.set(binding.machine, [...(byMachine.get(binding.machine) ?? []), binding]);
    }
    this.stops.clear();
    for (const [id, list] of byMachine) {
      const machine = this.machines.get(id);
      if (!machine || machine.addr === '' || machine.confirmedToken === 0) continue;
      const commands = list.map((binding): Command => ({
        _tag: 'stop',
        job: binding.job,
        index: binding.index,
        attempt: binding.attempt,
        graceS: binding.stop?.graceS ?? 0,
      }));
      void this.input.direct(machine.addr, this.token(machine), machine.session, commands).then((result) => {
        if (result._tag === 'executed') this.onDirectReport(machine, result.report);
      });
    }
  }

  private graceOf(job: ShareJob): number {
    return job.spec.checkpointS > 0 ? job.spec.saveS + SETTLE_EXTRA_S : 0;
  }

  /** A gang that lost a member is stopped whole and waits again, free to go anywhere. */
  private breakGang(job: ShareJob): void {
    for (const binding of job.bindings.values()) this.stop(binding, 'broken', 0);
  }

  private applyPhase(binding: Binding, event: PhaseEvent): void {
    const before = binding.phase;
    binding.phase = nextPhase(before, event);
    const job = this.jobs.get(binding.job);
    if (binding.phase._tag === 'running' && binding.runningAt === null) {
      binding.runningAt = this.input.now();
      const machine = this.machines.get(binding.machine);
      if (machine && job) machine.images.add(job.spec.image);
    }
    if (binding.phase._tag !== before._tag) {
      log.debug({
        event: 'task.change',
        task: `${binding.job}/${binding.index}`,
        attempt: binding.attempt,
        machine: binding.machine,
        from: before._tag,
        to: binding.phase._tag,
        how: binding.phase._tag === 'gone' ? binding.phase.how : undefined,
      });
    }
    if (binding.phase._tag === 'gone' && before._tag !== 'gone') this.onGone(binding, binding.phase.how, job);
  }

  private onGone(binding: Binding, how: Gone, job: ShareJob | undefined): void {
    const machine = this.machines.get(binding.machine);
    machine?.bound.delete(bindingKey(binding.job, binding.index, binding.attempt));
    this.poke();
    if (!job || job.bindings.get(binding.index) !== binding) return;
    job.bindings.delete(binding.index);
    const chunk = job.chunks.get(chunkOf(binding.index));
    if (chunk) chunk.dirty = true;
    if (how._tag === 'exited' && how.cause === 'done' && job.spec.kind !== 'service') {
      job.proven = true;
      // A gang completes together: one task done means all are.
      if (job.spec.kind === 'gang') {
        for (let index = 0; index < job.spec.tasks; index += 1) job.done.add(index);
        for (const other of job.bindings.values()) this.stop(other, 'finished', 0);
      } else job.done.add(binding.index);
      return;
    }
    if (how._tag === 'exited' && (how.cause === 'error' || how.cause === 'unknown'))
      this.onError(binding, job, machine);
    if (how._tag === 'exited' && how.cause === 'noRoom')
      job.backoffUntil = Math.max(job.backoffUntil, this.input.now() + 1_000);
    if (job.spec.kind === 'gang' && !isFinished(job)) this.breakGang(job);
  }

  /** A failure counts against the machine until the same job fails elsewhere too, and then against the job. */
  private onError(binding: Binding, job: ShareJob, machine: ShareMachine | undefined): void {
    const now = this.input.now();
    job.errors += 1;
    job.failedOn.add(binding.machine);
    log.info({
      event: 'task.failed',
      task: `${binding.job}/${binding.index}`,
      machine: binding.machine,
      errors: job.errors,
    });
    const jobAtFault = !job.proven && job.failedOn.size >= JOB_ERRORS;
    if (!job.proven) {
      const pause = jobAtFault
        ? Math.min(JOB_BACKOFF_MAX_MS, JOB_BACKOFF_MS * 2 ** Math.min(10, job.failedOn.size - JOB_ERRORS))
        : 0;
      job.backoffUntil = Math.max(job.backoffUntil, now + pause);
    }
    if (jobAtFault) {
      for (const id of job.failedOn) {
        const other = this.machines.get(id);
        if (other?.health._tag === 'suspect' && other.health.job === job.spec.id)
          other.health = { _tag: 'fine' };
      }
      job.failedOn.clear();
      return;
    }
    if (!machine) return;
    if (machine.health._tag === 'suspect' && machine.health.job !== job.spec.id)
      machine.health = { _tag: 'sick' };
    else if (machine.health._tag === 'fine') {
      machine.health = job.proven
        ? { _tag: 'sick' }
        : { _tag: 'suspect', job: job.spec.id, until: now + SUSPECT_MS };
    }
    if (machine.health._tag === 'sick') log.info({ event: 'machine.sick', machine: machine.id });
  }

  // ---- workers ---------------------------------------------------------------------------------------------

  token(machine: ShareMachine): number {
    return Math.max(this.claim, machine.version);
  }

  /** null: an older message than one already seen, or one that knows a higher token than ours. */
  onReport(report: Report): { readonly hurry: boolean } | null {
    const machine = this.machines.get(report.machine);
    if (!machine) return null;
    const token = this.token(machine);
    if (report.token > token) return null;
    if (report.session < machine.session || (report.session === machine.session && report.seq <= machine.seq))
      return null;
    const now = this.input.now();
    const underToken = report.token === token;
    const changes =
      this.stage === 'loading'
        ? []
        : readChanges(machine, report, underToken, (key) => this.mayBeLate(machine, key, report.token));
    this.noteSeen(machine, report);
    const wasConfirmed = machine.confirmedToken !== 0;
    machine.session = report.session;
    machine.seq = report.seq;
    machine.addr = report.addr;
    machine.confirmedToken = underToken ? token : 0;
    machine.answeredAt = now;
    machine.reported = report.tasks;
    if (report.noticeS !== null && machine.noticeAt === null) {
      machine.noticeAt = now;
      log.info({ event: 'machine.notice', machine: machine.id, noticeS: report.noticeS });
    }
    machine.noticeS = report.noticeS;
    const bound = machine.bound.size;
    for (const change of changes) this.applyPhase(change.binding, change.event);
    if (machine.noticeAt !== null) this.drain(machine);
    if (machine.confirmedToken !== 0 && !wasConfirmed) this.poke();
    // Room came free, or the machine came: what is placed on it next can travel in this very answer.
    const hurry = this.stage === 'placing' && (machine.bound.size < bound || (underToken && !wasConfirmed));
    return { hurry };
  }

  /** May a direct `run` of this attempt still be carried out, as far as a worker with this token goes? */
  private mayBeLate(machine: ShareMachine, key: string, seenToken: number): boolean {
    const token = machine.unsureRuns.get(key);
    if (token === undefined) return false;
    if (seenToken <= token) return true;
    machine.unsureRuns.delete(key);
    return false;
  }

  private noteSeen(machine: ShareMachine, report: Report): void {
    for (const task of report.tasks) {
      const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
      const seen = binding?.seen;
      if (!binding) continue;
      if (
        seen &&
        (seen.session > report.session || (seen.session === report.session && seen.seq >= report.seq))
      )
        continue;
      binding.seen = { session: report.session, seq: report.seq };
    }
  }

  /** Sends the `run`s of freshly bound tasks straight to their machines instead of waiting for reports. */
  private sendDirect(bindings: readonly Binding[]): void {
    const byMachine = new Map<string, Binding[]>();
    for (const binding of bindings) {
      if (binding.phase._tag !== 'bound' || binding.stop) continue;
      byMachine.set(binding.machine, [...(byMachine.get(binding.machine) ?? []), binding]);
    }
    for (const [id, list] of byMachine) {
      const machine = this.machines.get(id);
      if (!machine || machine.answering > 0 || machine.addr === '' || machine.confirmedToken === 0) continue;
      const token = this.token(machine);
      for (const binding of list)
        machine.unsureRuns.set(bindingKey(binding.job, binding.index, binding.attempt), token);
      const commands = list.map((binding): Command => ({
        _tag: 'run',
        job: binding.job,
        index: binding.index,
        attempt: binding.attempt,
      }));
      void this.input.direct(machine.addr, token, machine.session, commands).then((result) => {
        switch (result._tag) {
          case 'executed':
          case 'refused':
            for (const binding of list) {
              const key = bindingKey(binding.job, binding.index, binding.attempt);
              if (machine.unsureRuns.get(key) === token) machine.unsureRuns.delete(key);
            }
            if (result._tag === 'executed') this.onDirectReport(machine, result.report);
            return;
          case 'unsure':
            machine.raiseToken = true;
            log.info({ event: 'direct.unsure', machine: id, tasks: list.length });
            this.poke();
        }
      });
    }
  }

  /**
   * What a direct answer shows is there is there. What it doesn't show proves nothing: the answer to a report
   * may be on its way at the same time.
   */
  private onDirectReport(machine: ShareMachine, report: Report): void {
    if (this.stage === 'lost' || this.stage === 'loading' || this.machines.get(machine.id) !== machine)
      return;
    if (report.session < machine.session) return;
    for (const task of report.tasks) {
      const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
      const seen = binding?.seen;
      if (!binding || (seen && seen.session === report.session && seen.seq >= report.seq)) continue;
      this.applyPhase(binding, { _tag: 'reported', state: task.state });
    }
    this.noteSeen(machine, report);
  }

  /** A machine that came from another share: its worker hears of the new token at once, not by asking around. */
  private greet(machine: ShareMachine, session: number): void {
    const token = this.token(machine);
    void this.input.direct(machine.addr, token, session, []).then((result) => {
      if (
        this.machines.get(machine.id) !== machine ||
        this.token(machine) !== token ||
        machine.confirmedToken !== 0
      )
        return;
      if (result._tag !== 'executed' || result.report.token !== token || machine.answeredAt !== null) return;
      machine.session = result.report.session;
      machine.confirmedToken = token;
      machine.reported = result.report.tasks;
      // Later than the last answer of any earlier holder that the worker can have accepted.
      machine.answeredAt = this.input.now();
      this.poke();
    });
  }

  /** The commands that answer a machine's last report. */
  orders(report: Report): { readonly token: number; readonly commands: readonly Command[] } | null {
    const machine = this.machines.get(report.machine);
    if (!machine || machine.seq !== report.seq || machine.session !== report.session) return null;
    const token = this.token(machine);
    if (this.stage === 'loading') return { token, commands: [] };
    const commands = answer(
      machine,
      report,
      report.token === token,
      (key, job, index) => !this.mayBeLate(machine, key, report.token) && this.settled(key, job, index),
      this.input.now(),
    );
    return { token, commands };
  }

  /** Work that can be saved leaves a machine that is about to go; the rest may still finish in time. */
  private drain(machine: ShareMachine): void {
    for (const binding of machine.bound.values()) {
      const job = this.jobs.get(binding.job);
      if (!job || binding.stop || this.graceOf(job) === 0) continue;
      if (job.spec.kind === 'gang')
        for (const member of job.bindings.values()) this.stop(member, 'draining', this.graceOf(job));
      else this.stop(binding, 'draining', this.graceOf(job));
    }
  }

  // ---- rounds ----------------------------------------------------------------------------------------------

  poke(): void {
    this.poked = true;
    this.wake?.();
  }

  private pause(): Effect.Effect<void> {
    return Effect.promise(
      () =>
        new Promise<void>((resolve) => {
          if (this.poked) return resolve();
          const timer = setTimeout(resolve, PLACE_TICK_MS);
          this.wake = () => {
            clearTimeout(timer);
            this.wake = null;
            // A moment for events that come together.
            setTimeout(resolve, 5);
          };
        }),
    );
  }

  private readonly rounds: (() => void)[] = [];

  /** Resolves when a whole round that begins after now is over, or after `ms`. */
  nextRound(id: string, ms: number): Promise<void> {
    this.poke();
    const machine = this.machines.get(id);
    if (machine) machine.answering += 1;
    return new Promise<void>((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        if (!this.rounds.includes(end)) return resolve();
        this.rounds.splice(this.rounds.indexOf(end), 1);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.rounds.push(end);
    }).then(() => {
      if (machine) machine.answering -= 1;
    });
  }

  readonly run: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    if (this.stage === 'loading') yield* this.load;
    for (;;) {
      yield* this.pause();
      this.poked = false;
      const waiting = this.rounds.splice(0);
      if (this.stage === 'lost') return;
      if (!this.input.entitled()) continue;
      this.sendStops();
      this.watchMachines();
      yield* this.releaseMachines();
      yield* this.finishJobs();
      if (this.stage === 'rebuilding' && this.rebuilt()) {
        this.stage = 'placing';
        log.info({ event: 'share.placing', share: this.slot });
      }
      if (this.stage === 'placing') yield* this.place();
      yield* this.flush();
      for (const resolve of waiting) resolve();
    }
  });

  private rebuilt(): boolean {
    if (this.input.catalog() === null) return false;
    if (this.input.now() - this.loadedAt > REBUILD_MS) return true;
    return [...this.machines.values()].every(
      (machine) => machine.confirmedToken !== 0 || machine.releasing || this.booting(machine),
    );
  }

  /**
   * Holding an idle machine for about what a new one costs to bring up bounds the regret either way. That is
   * for the next gang or two; of many idle machines, those that have been so longest go sooner.
   */
  private holdMs(machine: ShareMachine): number {
    const bootS = this.input.catalog()?.get(machine.type)?.bootS ?? 0;
    let fresher = 0;
    for (const other of this.machines.values()) {
      if (other === machine || other.releasing || other.type !== machine.type || other.spot !== machine.spot)
        continue;
      if (other.idleSince !== null && other.idleSince >= (machine.idleSince ?? 0)) fresher += 1;
    }
    const boots = fresher < HELD_IDLE ? IDLE_BOOTS : IDLE_BOOTS_MANY;
    return Math.max(IDLE_RETURN_S, bootS * boots) * 1000;
  }

  /** Machines that have reported, and those that did within the last `ms`. */
  hearing(ms: number): { readonly machines: number; readonly heard: number } {
    const now = this.input.now();
    let machines = 0;
    let heard = now - this.loadedAt < ms || this.stage === 'loading' ? 1 : 0;
    for (const machine of this.machines.values()) {
      if (machine.answeredAt === null && now - machine.takenAt < ms) continue;
      if (machine.answeredAt === null && this.booting(machine)) continue;
      machines += 1;
      if (now - (machine.answeredAt ?? 0) < ms) heard += 1;
    }
    return { machines, heard };
  }

  private bootAllowanceMs(machine: ShareMachine): number {
    const bootS = this.input.catalog()?.get(machine.type)?.bootS ?? 60;
    return (bootS * BOOT_FACTOR + BOOT_SLACK_S) * 1000;
  }
  private booting(machine: ShareMachine): boolean {
    return (
      machine.answeredAt === null &&
      machine.bound.size === 0 &&
      this.input.wall() - machine.since < this.bootAllowanceMs(machine)
    );
  }

  /** Still within the time in which a machine usually comes up: its room counts as coming. */
  private expected(machine: ShareMachine): boolean {
    const bootS = this.input.catalog()?.get(machine.type)?.bootS ?? 0;
    return (
      this.booting(machine) && this.input.wall() - machine.since < (bootS * BOOT_USUAL + BOOT_USUAL_S) * 1000
    );
  }

  /**
   * A spot machine that stopped reporting was most likely taken back without notice. Releasing it is proof that
   * its tasks are gone, long before its lease would be; if it was only cut off, little is lost. Not while this
   * node hears few of its machines, which speaks for a fault of its own.
   */
  private surelyTaken(machine: ShareMachine): boolean {
    if (!machine.spot || machine.answeredAt === null) return false;
    const now = this.input.now();
    if (now - machine.answeredAt < SPOT_SILENT_MS || now - this.loadedAt < SPOT_SILENT_MS * 2) return false;
    const { machines, heard } = this.hearing(SPOT_SILENT_MS);
    return heard * 2 >= machines;
  }

  /** The full lease, with drift, that this holder must see pass after its last answer. */
  private get leaseMs(): number {
    return this.input.workers.lease_s * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  private silent(machine: ShareMachine): boolean {
    return this.input.now() - (machine.answeredAt ?? Math.max(this.loadedAt, machine.takenAt)) > this.leaseMs;
  }

  private watchMachines(): void {
    const now = this.input.now();
    for (const machine of this.machines.values()) {
      const type = this.input.catalog()?.get(machine.type);
      if (type && machine.total.cpus === 0) (machine as { total: Demand }).total = type;
      if (machine.health._tag === 'suspect' && now > machine.health.until) machine.health = { _tag: 'fine' };
      if (machine.bound.size > 0 && this.silent(machine) && machine.confirmedToken !== 0) {
        log.info({ event: 'machine.lease_over', machine: machine.id, tasks: machine.bound.size });
        for (const binding of [...machine.bound.values()]) {
          this.applyPhase(binding, { _tag: 'lost', how: { _tag: 'leaseOver' } });
        }
      }
      if (this.idle(machine)) machine.idleSince ??= now;
      else machine.idleSince = null;
    }
  }

  private idle(machine: ShareMachine): boolean {
    return (
      machine.confirmedToken !== 0 &&
      machine.bound.size === 0 &&
      machine.reported.every((task) => task.state._tag === 'exited')
    );
  }

  private wantsRelease(machine: ShareMachine): boolean {
    if (machine.releasing) return false;
    if (machine.answeredAt === null) {
      return this.silent(machine) && !this.booting(machine);
    }
    if (this.silent(machine) || this.surelyTaken(machine)) return true;
    if (machine.health._tag === 'sick' && machine.bound.size === 0) return true;
    return (
      this.stage === 'placing' &&
      machine.idleSince !== null &&
      this.input.now() - machine.idleSince > this.holdMs(machine)
    );
  }

  private readonly releaseMachines = (): Effect.Effect<void> =>
    Effect.gen({ self: this }, function* () {
      for (const machine of [...this.machines.values()]) {
        if (machine.raiseToken && !machine.releasing) {
          machine.raiseToken = false;
          yield* this.rewriteMachine(machine, { share: this.slot, releasing: false });
        }
        if (!this.wantsRelease(machine)) continue;
        log.info({ event: 'machine.release_wanted', machine: machine.id, silent: this.silent(machine) });
        yield* this.rewriteMachine(machine, { share: this.slot, releasing: true });
      }
    });

  /** Moves a free machine to another share. Its new assignment raises the token beyond all that we sent. */
  give(id: string, to: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const machine = this.machines.get(id);
      if (!machine || this.stage !== 'placing' || !this.movable(machine)) return false;
      log.info({ event: 'machine.move', machine: id, from: this.slot, to });
      return yield* this.rewriteMachine(machine, { share: to, releasing: false });
    });
  }

  /** The state service no longer binds this attempt: a later holder won't start it again. */
  private settled(key: string, job: string, index: number): boolean {
    return !(this.jobs.get(job)?.chunks.get(chunkOf(index))?.durable.has(key) ?? false);
  }

  /** Free for another share: nothing on it but exits that are settled, which any holder may have forgotten. */
  private movable(machine: ShareMachine): boolean {
    return (
      this.idle(machine) &&
      machine.unsureRuns.size === 0 &&
      machine.reported.every((task) =>
        this.settled(bindingKey(task.job, task.index, task.attempt), task.job, task.index),
      ) &&
      !machine.releasing &&
      machine.noticeAt === null &&
      machine.health._tag === 'fine'
    );
  }

  private rewriteMachine(
    machine: ShareMachine,
    to: { share: number; releasing: boolean },
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const record: MachineRecord = {
        share: to.share,
        type: machine.type,
        zone: machine.zone,
        spot: machine.spot,
        at: machine.since,
        releasing: to.releasing,
        addr: machine.addr,
        session: machine.session,
      };
      // From here nothing is placed on it, also while the outcome is unknown.
      machine.releasing = true;
      const key = machineKey(machine.id);
      const result = yield* this.surely(
        [{ key, version: machine.version }],
        [{ _tag: 'put', key, value: writeMachineRecord(record) }],
        key,
      );
      if (result._tag === 'committed') return true;
      if (result._tag === 'refused') machine.releasing = false;
      return false;
    });
  }

  // ---- durable changes ---------------------------------------------------------------------------------------

  private guard(): Condition {
    return { key: claimKey(String(this.slot)), version: this.claim };
  }

  /**
   * Carries a transaction to a known end. Without an answer it may still be applied later, so the same one
   * is sent again until it is committed or can no longer be: every write is conditional on the version of a
   * key that it changes (`witness`), which tells a late first copy from somebody else's change.
   */
  private surely(
    when: readonly Condition[],
    writes: readonly Write[],
    witness: string,
  ): Effect.Effect<TxnResult> {
    return Effect.gen({ self: this }, function* () {
      let unsure = false;
      for (;;) {
        const result = yield* this.input.store.txn([this.guard(), ...when], writes, 'work');
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
            if (result.failed.includes(claimKey(String(this.slot)))) {
              this.lose();
              return result;
            }
            if (!unsure) return result;
            const now = yield* this.input.store.get(witness, 'work');
            const before = when.find((condition) => condition.key === witness)?.version ?? 0;
            if (now._tag === 'found' && now.item.version !== before) {
              return { _tag: 'committed', revision: now.item.version };
            }
            if (now._tag === 'absent' && before !== 0) return { _tag: 'committed', revision: 0 };
            if (now._tag !== 'failed') return result;
            break;
          }
        }
        if (this.stage === 'lost') return { _tag: 'refused', why: 'lost' };
        yield* Effect.sleep(STORE_RETRY_MS);
      }
    });
  }

  lose(): void {
    if (this.stage === 'lost') return;
    this.stage = 'lost';
    log.info({ event: 'share.lost', share: this.slot, claim: this.claim });
    this.poke();
  }

  private chunkWrite(job: ShareJob, chunk: number): ChunkWrite {
    return { job, chunk, record: runRecord(job, chunk) };
  }

  private commitChunks(writes: readonly ChunkWrite[]): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const first = writes[0];
      if (!first) return true;
      const key = (write: ChunkWrite): string => runKey(this.slot, write.job.spec.id, write.chunk);
      const jobs = new Set(writes.map((write) => write.job));
      const when: Condition[] = [
        ...[...jobs].map((job) => ({ key: jobKey(job.spec.id), version: job.version })),
        ...writes.map((write) => ({
          key: key(write),
          version: write.job.chunks.get(write.chunk)?.version ?? 0,
        })),
      ];
      for (const write of writes) {
        const chunk = write.job.chunks.get(write.chunk);
        if (chunk) chunk.dirty = false;
      }
      const result = yield* this.surely(
        when,
        writes.map((write) => ({
          _tag: 'put',
          key: key(write),
          value: writeRunRecord(write.record, write.chunk),
        })),
        key(first),
      );
      const committed = result._tag === 'committed';
      for (const write of writes) {
        const known = write.job.chunks.get(write.chunk);
        if (committed) {
          write.job.chunks.set(write.chunk, {
            version: result.revision,
            durable: durableKeys(write.job.spec.id, write.record),
            dirty: !sameRecord(write.record, runRecord(write.job, write.chunk)),
          });
        } else if (known) known.dirty = true;
      }
      if (result._tag === 'conflict') log.debug({ event: 'bind.conflict', failed: result.failed });
      return committed;
    });
  }

  private flush(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = this.input.now();
      if (now - this.flushedAt < FLUSH_MS || this.stage === 'lost') return;
      this.flushedAt = now;
      let batch: ChunkWrite[] = [];
      let bytes = 0;
      for (const job of this.jobs.values()) {
        if (job.finishing) continue;
        for (const [number, chunk] of job.chunks) {
          if (!chunk.dirty) continue;
          const write = this.chunkWrite(job, number);
          batch.push(write);
          bytes += size(write.record);
          if (batch.length >= this.input.store.txnOps || bytes > TXN_BYTES / 2) {
            yield* this.commitChunks(batch);
            batch = [];
            bytes = 0;
          }
        }
      }
      if (batch.length > 0) yield* this.commitChunks(batch);
      const rest = this.orphans.splice(0, this.input.store.txnOps);
      if (rest.length > 0) {
        yield* this.input.store.txn(
          [this.guard()],
          rest.map((key) => ({ _tag: 'delete', key })),
          'work',
        );
      }
    });
  }

  private finishJobs(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (const job of [...this.jobs.values()]) {
        if (job.finishing) continue;
        if (job.bindings.size > 0) continue;
        if (job.cancelled) yield* this.finish(job, 'cancelled');
        else if (isFinished(job)) yield* this.finish(job, 'done');
      }
    });
  }

  private finish(job: ShareJob, state: FinalState): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      job.finishing = true;
      const chunks = [...job.chunks.keys()].map((chunk) => runKey(this.slot, job.spec.id, chunk));
      const now = chunks.splice(0, Math.max(0, this.input.store.txnOps - 2));
      const result = yield* this.surely(
        [{ key: jobKey(job.spec.id), version: job.version }],
        [
          {
            _tag: 'put',
            key: finalKey(job.spec.id),
            value: writeFinalRecord({ state, at: this.input.wall(), tasks: job.spec.tasks }),
          },
          { _tag: 'delete', key: jobKey(job.spec.id) },
          ...now.map((key) => ({ _tag: 'delete', key }) as const),
        ],
        jobKey(job.spec.id),
      );
      job.finishing = false;
      if (result._tag !== 'committed') return;
      job.finishing = true;
      log.info({ event: 'job.final', job: job.spec.id, state, ageMs: this.input.wall() - job.at });
      this.orphans.push(...chunks);
      this.jobs.delete(job.spec.id);
    });
  }

  // ---- placement -----------------------------------------------------------------------------------------------

  private uses(): Map<string, Use> {
    const uses = new Map<string, Use>();
    for (const machine of this.machines.values()) {
      for (const binding of machine.bound.values()) {
        const job = this.jobs.get(binding.job);
        if (!job) continue;
        const use = uses.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
        use.cpus += job.spec.cpus;
        use.gpus += job.spec.gpus;
        uses.set(job.spec.team, use);
      }
    }
    return uses;
  }

  private rooms(): Room[] {
    const rooms: Room[] = [];
    let idle = 0;
    for (const machine of this.machines.values())
      if (!machine.spot && !machine.releasing && this.idle(machine)) idle += 1;
    for (const machine of this.machines.values()) {
      if (
        machine.releasing ||
        machine.cordoned ||
        machine.noticeAt !== null ||
        machine.health._tag !== 'fine'
      )
        continue;
      const live =
        machine.confirmedToken !== 0 && this.input.now() - (machine.answeredAt ?? 0) < this.leaseMs / 2;
      if (!live && !this.expected(machine)) continue;
      const free = { cpus: machine.total.cpus, gpus: machine.total.gpus, memoryGb: machine.total.memoryGb };
      const subtract = (jobId: string): boolean => {
        const spec = this.jobs.get(jobId)?.spec;
        if (!spec) return false;
        free.cpus -= spec.cpus;
        free.gpus -= spec.gpus;
        free.memoryGb -= spec.memoryGb;
        return true;
      };
      let clear = true;
      for (const binding of machine.bound.values()) if (!subtract(binding.job)) clear = false;
      for (const task of machine.reported) {
        if (task.state._tag === 'exited' || machine.bound.has(bindingKey(task.job, task.index, task.attempt)))
          continue;
        // On the machine, but not ours any more: it is being stopped, and its room is not free yet.
        if (!subtract(task.job)) clear = false;
      }
      if (!clear) continue;
      rooms.push({
        id: machine.id,
        type: machine.type,
        zone: machine.zone,
        spot: machine.spot,
        total: machine.total,
        free,
        images: machine.images,
        live,
        kept: this.keptForOthers(machine, idle),
      });
    }
    return rooms;
  }

  /**
   * Ordinary machines that some job can't do without are held back from work that can use spot: where that
   * work has other types to go to, always; where it has none, as long as it would take one of the last idle.
   */
  private keptForOthers(machine: ShareMachine, idle: number): Room['kept'] {
    if (machine.spot || !this.input.scarce(machine.type)) return 'no';
    if ((this.input.catalog()?.size ?? 0) > 1) return 'always';
    return machine.bound.size === 0 && idle <= RESERVED_IDLE ? 'reserve' : 'no';
  }

  /** The shortest nominal boot among the types that the job may use. */
  private bootS(spec: JobSpec): number {
    let least = Number.POSITIVE_INFINITY;
    for (const type of this.input.catalog()?.values() ?? []) {
      if (typeAllowed(spec, type.name) && fitsIn(spec, type)) least = Math.min(least, type.bootS);
    }
    return Number.isFinite(least) ? least : 0;
  }

  private asks(): Ask[] {
    const now = this.input.now();
    const asks: Ask[] = [];
    const ahead = new Map<string, Use>();
    for (const job of [...this.jobs.values()].sort((a, b) => a.at - b.at)) {
      const use = ahead.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      const left = job.spec.tasks - job.done.size;
      use.cpus += job.spec.cpus * left;
      use.gpus += job.spec.gpus * left;
      ahead.set(job.spec.team, use);
      if (job.cancelled || job.finishing || isFinished(job) || now < job.backoffUntil) continue;
      if (job.spec.kind === 'gang' && job.bindings.size > 0) continue;
      const waiting: number[] = [];
      // Enough for any limit; a job of 100,000 tasks need not be walked whole each round.
      while (job.done.has(job.firstOpen)) job.firstOpen += 1;
      for (let index = job.firstOpen; index < job.spec.tasks && waiting.length < ASK_TASKS; index += 1) {
        if (!job.done.has(index) && !job.bindings.has(index)) waiting.push(index);
      }
      if (waiting.length === 0) continue;
      const inZones = new Map<string, number>();
      for (const binding of job.bindings.values()) {
        const zone = this.machines.get(binding.machine)?.zone;
        if (zone !== undefined) inZones.set(zone, (inZones.get(zone) ?? 0) + 1);
      }
      const guarantee = this.input.guarantees.get(job.spec.team);
      const objectives = this.input.objectives.get(job.spec.klass);
      const waitedS = (this.input.wall() - job.at) / 1000;
      const withinGuarantee =
        guarantee !== undefined &&
        use.gpus <= guarantee.gpus &&
        (guarantee.cpus === 0 || use.cpus <= guarantee.cpus);
      const pressing = urgency(job.spec, objectives, waitedS, this.bootS(job.spec), FETCH_GUESS_S);
      asks.push({
        job: job.spec.id,
        spec: job.spec,
        waiting,
        inZones,
        failedOn: job.failedOn,
        at: job.at,
        tier: tier(objectives, waitedS),
        urgency: pressing,
        ordinary:
          pressing.place || waitedS > (withinGuarantee ? ORDINARY_AFTER_GUARANTEED_S : ORDINARY_AFTER_S),
        withinGuarantee,
      });
    }
    return [...order(asks)];
  }

  private place(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const asks = this.asks();
      const rooms = this.rooms();
      const uses = this.uses();
      const packed = packAll(
        asks,
        rooms.filter((room) => room.live),
        this.input.limits,
        uses,
      );
      const byJob = new Map<string, Binding[]>();
      const now = this.input.now();
      for (const put of packed.puts) {
        const job = this.jobs.get(put.job);
        const machine = this.machines.get(put.machine);
        if (!job || !machine) continue;
        const list = byJob.get(put.job) ?? [];
        if (list.length === 0) job.attempt += 1;
        byJob.set(put.job, list);
        const binding: Binding = {
          job: put.job,
          index: put.index,
          attempt: job.attempt,
          machine: put.machine,
          phase: { _tag: 'binding' },
          stop: null,
          seen: null,
          boundAt: now,
          runningAt: null,
        };
        list.push(binding);
        job.bindings.set(put.index, binding);
        machine.bound.set(bindingKey(put.job, put.index, binding.attempt), binding);
      }
      this.evict(packed.left, rooms);
      this.plan(packed.left, rooms, uses);
      let batch: { write: ChunkWrite; bindings: Binding[] }[] = [];
      let bytes = 0;
      const send = function* (this: Share) {
        const sent = batch;
        batch = [];
        bytes = 0;
        if (sent.length === 0) return;
        const committed: boolean = yield* this.commitChunks(sent.map((entry) => entry.write));
        for (const { bindings } of sent) {
          for (const binding of bindings) {
            if (committed) this.applyPhase(binding, { _tag: 'durable' });
            else this.unbind(binding);
          }
          if (committed) this.sendDirect(bindings);
        }
        if (committed) this.input.changed();
      }.bind(this);
      for (const [id, bindings] of byJob) {
        const job = this.jobs.get(id);
        if (!job) continue;
        const chunks = [...new Set(bindings.map((binding) => chunkOf(binding.index)))];
        const gang = job.spec.kind === 'gang';
        if (gang || batch.length >= this.input.store.txnOps) yield* send();
        for (const chunk of chunks) {
          const write = this.chunkWrite(job, chunk);
          if (
            !gang &&
            (batch.length >= this.input.store.txnOps || bytes + size(write.record) > TXN_BYTES / 2)
          )
            yield* send();
          batch.push({ write, bindings: bindings.filter((binding) => chunkOf(binding.index) === chunk) });
          bytes += size(write.record);
        }
        if (gang) yield* send();
      }
      yield* send();
    });
  }

  /**
   * Whole groups of lower priority go when nothing else helps: no room here, no free machine in another share
   * that would do, and nothing already on its way out. One job a round, and only if it can start for it.
   */
  private evict(left: readonly { ask: Ask; count: number }[], rooms: readonly Room[]): void {
    const now = this.input.now();
    for (const machine of this.machines.values()) {
      for (const binding of machine.bound.values()) if (binding.stop?.reason === 'evicted') return;
    }
    for (const { ask, count } of left) {
      const { spec } = ask;
      if (spec.priority === 0 || this.input.wall() - ask.at < EVICT_AFTER_MS) continue;
      if (this.input.spareElsewhere(this.slot, spec)) continue;
      const occupied: Occupied[] = [];
      for (const room of rooms) {
        const machine = this.machines.get(room.id);
        if (!machine || !room.live || ask.failedOn.has(room.id)) continue;
        const groups = new Map<string, { binding: Binding; job: ShareJob; tasks: number }>();
        for (const binding of machine.bound.values()) {
          const job = this.jobs.get(binding.job);
          if (!job || binding.stop) continue;
          const known = groups.get(binding.job);
          groups.set(binding.job, { binding, job, tasks: (known?.tasks ?? 0) + 1 });
        }
        occupied.push({
          id: room.id,
          type: room.type,
          zone: room.zone,
          spot: room.spot,
          free: room.free,
          groups: [...groups.values()]
            // What ends before it could be stopped is not worth stopping.
            .filter(({ binding, job }) => {
              const leftS = job.spec.estimateS - (now - (binding.runningAt ?? now)) / 1000;
              return leftS > this.graceOf(job) || leftS < -job.spec.estimateS;
            })
            .map(({ job, tasks }) => ({
              job: job.spec.id,
              priority: job.spec.priority,
              gang: job.spec.kind === 'gang',
              tasks,
              demand: {
                cpus: job.spec.cpus * tasks,
                gpus: job.spec.gpus * tasks,
                memoryGb: job.spec.memoryGb * tasks,
              },
            })),
        });
      }
      const victims = chooseVictims(spec, count, occupied);
      if (victims.length === 0) continue;
      for (const victim of victims) {
        const job = this.jobs.get(victim.job);
        if (!job) continue;
        log.info({ event: 'group.evicted', job: victim.job, machine: victim.machine, for: ask.job });
        for (const binding of job.bindings.values()) {
          if (job.spec.kind === 'gang' || binding.machine === victim.machine)
            this.stop(binding, 'evicted', this.graceOf(job));
        }
      }
      return;
    }
  }

  /** Takes back a bind that surely was not carried out. */
  private unbind(binding: Binding): void {
    this.machines.get(binding.machine)?.bound.delete(bindingKey(binding.job, binding.index, binding.attempt));
    const job = this.jobs.get(binding.job);
    if (job?.bindings.get(binding.index) === binding) job.bindings.delete(binding.index);
  }

  /** What is still needed once the machines that are coming are counted, for the leader. */
  private plan(left: readonly { ask: Ask; count: number }[], rooms: Room[], uses: Map<string, Use>): void {
    const now = this.input.wall();
    const coming = packAll(
      // What was rented for this work must count for it before it may be used, or it is rented again; what was
      // rented for work that can use no spot must not be planned away for work that can.
      left.map(({ ask, count }) => ({
        ...ask,
        waiting: ask.waiting.slice(-count),
        ordinary: ask.urgency.rent,
      })),
      rooms.map((room) => (room.live || room.kept === 'always' ? room : { ...room, kept: 'no' as const })),
      this.input.limits,
      uses,
    );
    const needs = new Map<string, Need & { sizes: number[] }>();
    for (const { ask, count } of coming.left) {
      const { spec } = ask;
      const urgent = ask.urgency.rent;
      const klass = `${classOf({ ...spec, tasks: 1 })}|${spec.priority}|${urgent}`;
      const known = needs.get(klass);
      if (known) {
        (known as { tasks: number }).tasks += count;
        if (spec.kind === 'gang') known.sizes.push(count);
        continue;
      }
      const room: Record<string, number> = {};
      if (spec.oneZone) {
        for (const free of rooms) {
          if (!placeAllowed(spec, free)) continue;
          const fits = Math.min(
            spec.cpus > 0 ? Math.floor(free.free.cpus / spec.cpus) : count,
            spec.gpus > 0 ? Math.floor(free.free.gpus / spec.gpus) : count,
          );
          room[free.zone] = (room[free.zone] ?? 0) + Math.max(0, fits);
        }
      }
      needs.set(klass, {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memoryGb: spec.memoryGb,
        types: spec.types,
        zone: spec.zone,
        spot: spec.spot,
        gang: spec.kind === 'gang',
        oneZone: spec.oneZone,
        urgent,
        priority: spec.priority,
        tasks: count,
        sizes: spec.kind === 'gang' ? [count] : [],
        room,
        waitedMs: now - ask.at,
      });
    }
    const spares: Spare[] = [];
    for (const machine of this.machines.values()) {
      if (!this.movable(machine) || machine.bound.size > 0) continue;
      spares.push({
        id: machine.id,
        type: machine.type,
        zone: machine.zone,
        spot: machine.spot,
        idleS: machine.idleSince === null ? 0 : (this.input.now() - machine.idleSince) / 1000,
      });
    }
    this.summary = {
      share: this.slot,
      claim: this.claim,
      revision: this.input.mirror.revision,
      needs: [...needs.values()],
      spares,
    };
    if (needs.size > 0) this.input.changed();
  }

  counts(id: string): { done: number; running: number } | null {
    const job = this.jobs.get(id);
    if (!job) return null;
    let running = 0;
    for (const binding of job.bindings.values()) if (onMachine(binding.phase)) running += 1;
    return { done: job.done.size, running };
  }
}

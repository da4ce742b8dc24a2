/**
 * A small world in which several processes compete for the duty of renting, driven step by step through a
 * history of pauses, suspensions, clock jumps, lost answers and delayed messages. The processes use the real
 * duty, clock and journal; the state service and the cloud are models.
 */
import { DutyAudit } from '../audit.js';
import { SuspensionAwareClock } from '../clock.js';
import { Duty, type Permit } from '../duty.js';
import type { FencedValue } from '../fenced-value.js';
import { settlementsFor, type ProvisioningIntent } from '../provisioning-intent.js';
import { ProvisioningJournal } from '../provisioning-journal.js';
import { tokenOf, type FencingToken } from '../token.js';
import { MemoryValue, type NextWrite } from './memory-value.js';

/** ms: the lease behind the claim, in the state service. */
const LEASE_MS = 5_000;
/** ms: taken off by the holder's own reckoning, for late timers. */
const LEASE_MARGIN_MS = 300;
/** Fraction: drift of two clocks against each other, as the protocol bounds it, doubled. */
const DRIFT = 0.001;
const TIME_OF_DAY_ERROR_MS = 25;
const BOOK_BYTES = 16 * 1024;

/** One step of a history. */
export type Step =
  | { readonly _tag: 'advance'; readonly ms: number }
  /** The process stands still, its clocks run on (SIGSTOP). */
  | { readonly _tag: 'stop'; readonly process: number }
  /** The host stands still, and its steady clock with it. */
  | { readonly _tag: 'suspend'; readonly process: number }
  | { readonly _tag: 'resume'; readonly process: number }
  | { readonly _tag: 'setTime'; readonly process: number; readonly ms: number }
  | { readonly _tag: 'rent'; readonly process: number }
  /** The next message on its way to the cloud arrives; `again` keeps a copy under way. */
  | { readonly _tag: 'deliver'; readonly index: number; readonly again: boolean }
  | { readonly _tag: 'nextWrite'; readonly how: NextWrite }
  | { readonly _tag: 'deliverWrites' };

/** Something that must never happen. */
export interface Violation {
  readonly rule:
    /** A process sent a request after another had taken the duty. */
    | 'late send'
    /** The cloud carried out a request that had not been announced. */
    | 'not announced'
    /** The cloud carried out a request anew after a successor had settled it. */
    | 'late rental'
    /** A token was not higher than the one before. */
    | 'token order';
  readonly detail: string;
}

interface Message {
  readonly intent: ProvisioningIntent;
  readonly answered: () => void;
}

class SimulatedProcess {
  running = true;
  private readonly waking: (() => void)[] = [];
  private readonly delayed: (() => void)[] = [];
  steadyMs = 0;
  timeOfDayMs = 1_700_000_000_000;
  suspended = false;
  token: FencingToken | null = null;
  leaseUntil = Number.NEGATIVE_INFINITY;
  sequence = 0;
  readonly clock: SuspensionAwareClock;
  readonly duty: Duty;
  readonly journal: ProvisioningJournal;

  constructor(value: FencedValue, audit: DutyAudit, enforce: boolean) {
    this.clock = new SuspensionAwareClock({
      steady: () => this.steadyMs,
      timeOfDay: () => this.timeOfDayMs,
      timeOfDayErrorMs: TIME_OF_DAY_ERROR_MS,
    });
    this.duty = new Duty({ name: 'rent', claim: 'L', right: () => this.right(), audit, enforce });
    const awake = async <T>(answer: Promise<T>): Promise<T> => {
      const received = await answer;
      await this.delay();
      return received;
    };
    this.journal = new ProvisioningJournal({
      value: {
        read: () => awake(value.read()),
        write: (...args) => awake(value.write(...args)),
      },
      maxBytes: BOOK_BYTES,
      timeOfDay: () => this.timeOfDayMs,
      sleep: () => this.delay(),
    });
  }

  /** Time on the network, or in a queue: over with the next step of time in which the process runs. */
  async delay(): Promise<void> {
    await new Promise<void>((resolve) => this.delayed.push(resolve));
    await this.awake();
  }

  /** Time passes: what was on its way arrives. */
  arrive(): void {
    for (const resolve of this.delayed.splice(0)) resolve();
  }

  private right(): FencingToken | null {
    return this.clock.now() < this.leaseUntil ? this.token : null;
  }

  /** Resolves once the process runs. */
  awake(): Promise<void> {
    if (this.running) return Promise.resolve();
    return new Promise((resolve) => this.waking.push(resolve));
  }

  wake(): void {
    this.running = true;
    this.suspended = false;
    for (const resolve of this.waking.splice(0)) resolve();
  }
}

/** Plays one history and gathers what must never happen. */
export class HistoryWorld {
  readonly violations: Violation[] = [];
  readonly audit = new DutyAudit(() => this.now);
  private now = 0;
  private claim: { token: FencingToken; process: number; until: number } | null = null;
  private lastToken = 0;
  private readonly value = new MemoryValue(tokenOf(1));
  private readonly processes: readonly SimulatedProcess[];
  private readonly underWay: Message[] = [];
  private readonly executed = new Set<string>();
  private readonly settledBySuccessor = new Set<string>();
  private readonly announced = new Set<string>();

  constructor(processes: number, enforce: boolean) {
    this.processes = Array.from(
      { length: processes },
      () => new SimulatedProcess(this.value, this.audit, enforce),
    );
  }

  async play(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      this.apply(step);
      await this.settle();
    }
  }

  /** Lets promises of processes that run go on. */
  private async settle(): Promise<void> {
    for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
  }

  private apply(step: Step): void {
    switch (step._tag) {
      case 'advance':
        this.advance(step.ms);
        return;
      case 'stop':
      case 'suspend':
        this.halt(step.process, step._tag === 'suspend');
        return;
      case 'resume':
        // What waited inside the process goes on before it hears anything new.
        this.processes[step.process]?.wake();
        return;
      case 'setTime':
        this.setTime(step.process, step.ms);
        return;
      case 'rent':
        this.provision(step.process);
        return;
      case 'deliver':
        this.deliver(step.index, step.again);
        return;
      case 'nextWrite':
        this.value.next = step.how;
        return;
      case 'deliverWrites':
        this.value.deliverLate();
    }
  }

  private halt(index: number, suspended: boolean): void {
    const process = this.processes[index];
    if (!process) return;
    process.running = false;
    process.suspended = suspended;
  }

  private setTime(index: number, ms: number): void {
    const process = this.processes[index];
    if (!process?.running) return;
    process.timeOfDayMs += ms;
    // A process that runs reads its clock many times a second.
    process.clock.now();
  }

  private advance(ms: number): void {
    this.now += ms;
    this.processes.forEach((process, index) => {
      process.timeOfDayMs += ms;
      // Clocks of different machines drift apart within the protocol's bound.
      if (!process.suspended) process.steadyMs += ms * (1 + (index % 2 === 0 ? 0 : DRIFT / 2));
    });
    this.renew();
    this.expire();
    this.tellClaims();
    for (const process of this.processes) process.arrive();
  }

  private renew(): void {
    const { claim } = this;
    const holder = claim ? this.processes[claim.process] : undefined;
    if (!claim || !holder?.running || this.now > claim.until) return;
    claim.until = this.now + LEASE_MS;
    holder.leaseUntil = holder.clock.now() + LEASE_MS * (1 - DRIFT) - LEASE_MARGIN_MS;
  }

  private expire(): void {
    if (this.claim && this.now > this.claim.until) this.claim = null;
    if (this.claim) return;
    const index = this.processes.findIndex((process) => process.running);
    const process = this.processes[index];
    if (!process) return;
    const token = tokenOf(this.lastToken + 1 + (this.now % 3));
    if (token <= this.lastToken) this.violations.push({ rule: 'token order', detail: String(token) });
    this.lastToken = token;
    this.value.claim = token;
    this.claim = { token, process: index, until: this.now + LEASE_MS };
    process.token = token;
    process.leaseUntil = process.clock.now() + LEASE_MS * (1 - DRIFT) - LEASE_MARGIN_MS;
  }

  /** The watch: only processes that run hear of the claim. */
  private tellClaims(): void {
    this.processes.forEach((process, index) => {
      if (!process.running) return;
      process.clock.now();
      const ownRevision = this.claim?.process === index ? this.claim.token : null;
      if (ownRevision === null) {
        process.duty.apply({ _tag: 'released' });
        return;
      }
      process.duty.apply({ _tag: 'claimed', token: ownRevision });
      process.duty.refresh();
      if (process.duty.state._tag === 'acquiring') void this.takeOver(process);
    });
  }

  private async takeOver(process: SimulatedProcess): Promise<void> {
    const permit = process.duty.beginSettlement('settlement');
    if (permit === null) return;
    const book = await process.journal.load(permit.token);
    if (book !== null && (await this.settleAll(process, permit)))
      process.duty.apply({ _tag: 'settled', token: permit.token });
    permit.end();
  }

  private async settleAll(process: SimulatedProcess, permit: Permit): Promise<boolean> {
    for (const { _tag, intent } of settlementsFor(process.journal.current, process.timeOfDayMs)) {
      if (_tag === 'abandon') {
        process.journal.close(intent.name, 'abandoned');
        continue;
      }
      if (!permit.mayProceed()) return false;
      this.noteSend(permit, intent.name);
      // The repeat is answered before anything else of it can arrive.
      this.execute(intent.name);
      this.settledBySuccessor.add(intent.name);
      await process.awake();
      process.journal.close(intent.name, 'repeated by successor', intent.shardIds.length);
    }
    return true;
  }

  private provision(index: number): void {
    const process = this.processes[index];
    const permit = process?.running ? process.duty.begin('rental request') : null;
    if (process && permit) void this.rentUnder(process, permit).finally(() => permit.end());
  }

  private async rentUnder(process: SimulatedProcess, permit: Permit): Promise<void> {
    process.sequence += 1;
    const intent: ProvisioningIntent = {
      name: `r-${permit.token}-${process.sequence}`,
      machineType: 'g',
      zone: 'a',
      spot: false,
      shardIds: [0],
      at: process.timeOfDayMs,
    };
    const outcome = await process.journal.open(intent);
    if (outcome !== 'announced') return;
    this.announced.add(intent.name);
    // It waits for the cloud's rate, and for a connection.
    await process.delay();
    if (!permit.mayProceed()) {
      process.journal.close(intent.name, 'withheld');
      return;
    }
    this.noteSend(permit, intent.name);
    const answered = new Promise<void>((resolve) => this.underWay.push({ intent, answered: resolve }));
    await answered;
    await process.awake();
    process.journal.close(intent.name, 'rented', 1);
  }

  private noteSend(permit: Permit, name: string): void {
    // Whether the later holder is still there makes no difference: it has acted.
    if (this.lastToken <= permit.token) return;
    const detail = `${name} under ${permit.token}, held under ${this.lastToken} since`;
    this.violations.push({ rule: 'late send', detail });
  }

  private deliver(position: number, again: boolean): void {
    const index = this.underWay.length === 0 ? -1 : position % this.underWay.length;
    const message = this.underWay[index];
    if (!message) return;
    if (!again) this.underWay.splice(index, 1);
    const { name } = message.intent;
    if (!this.announced.has(name)) this.violations.push({ rule: 'not announced', detail: name });
    if (!this.executed.has(name) && this.settledBySuccessor.has(name))
      this.violations.push({ rule: 'late rental', detail: name });
    this.execute(name);
    message.answered();
  }

  /** A repeated name gets the same answer, and rents nothing. */
  private execute(name: string): void {
    this.executed.add(name);
  }
}

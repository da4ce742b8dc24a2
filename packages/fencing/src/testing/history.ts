/**
 * A simulation in which several processes compete for the provisioning duty. It executes a history step by
 * step: pauses, suspensions, clock jumps, lost answers and delayed messages. The processes use the real duty,
 * clock and journal; the key-value store and the cloud are models.
 *
 * State: a {@link HistorySimulation} owns the claim, the requests in flight to the cloud, and the violations.
 */
import { DutyAudit } from '../audit.js';
import type { Permit } from '../duty.js';
import { settlementsFor, type ProvisioningIntent } from '../provisioning-record.js';
import { tokenOf, type FencingToken } from '../token.js';
import { MemoryValue, type NextWrite } from './memory-value.js';
import { SimulatedProcess } from './simulated-process.js';

/** ms: duration of the lease behind the claim, in the key-value store. */
const LEASE_MS = 5_000;
/** ms: time by which a holder considers its lease shorter than it is, to allow for late timers. */
const LEASE_SAFETY_MARGIN_MS = 300;
/** Drift between two clocks, as a fraction of the elapsed time: twice the bound of the protocol. */
const CLOCK_DRIFT_FRACTION = 0.001;

/** One step of a history. */
export type HistoryStep =
  | { readonly _tag: 'advance'; readonly ms: number }
  /** The process is stopped, and its clocks continue (SIGSTOP). */
  | { readonly _tag: 'stop'; readonly process: number }
  /** The host is suspended, and its steady clock stops. */
  | { readonly _tag: 'suspend'; readonly process: number }
  | { readonly _tag: 'resume'; readonly process: number }
  | { readonly _tag: 'setTime'; readonly process: number; readonly ms: number }
  | { readonly _tag: 'provision'; readonly process: number }
  /**
   * One of the requests in flight, selected by `index`, reaches the cloud; `again` leaves a copy in flight.
   */
  | { readonly _tag: 'deliver'; readonly index: number; readonly again: boolean }
  | { readonly _tag: 'nextWrite'; readonly how: NextWrite }
  | { readonly _tag: 'deliverWrites' };

/** The violation of an invariant. */
export interface Violation {
  readonly rule:
    /** A process sent a request after another process had acquired the duty. */
    | 'late send'
    /** The cloud carried out a request that had not been announced. */
    | 'not announced'
    /** The cloud carried out a request for the first time after a successor had settled it. */
    | 'late rental'
    /** A token was not higher than the previous one. */
    | 'token order';
  readonly detail: string;
}

interface SentRequest {
  readonly intent: ProvisioningIntent;
  readonly onAnswer: () => void;
}

/** Runs one history and collects the violations. */
export class HistorySimulation {
  readonly violations: Violation[] = [];
  readonly audit = new DutyAudit(() => this.now);
  private now = 0;
  private claim: { token: FencingToken; process: number; until: number } | null = null;
  private lastToken = 0;
  private readonly value = new MemoryValue(tokenOf(1));
  private readonly processes: readonly SimulatedProcess[];
  private readonly requestsInFlight: SentRequest[] = [];
  private readonly executed = new Set<string>();
  private readonly settledBySuccessor = new Set<string>();
  private readonly announced = new Set<string>();

  constructor(processes: number, enforceFencing: boolean) {
    this.processes = Array.from(
      { length: processes },
      () => new SimulatedProcess(this.value, this.audit, enforceFencing),
    );
  }

  async run(steps: readonly HistoryStep[]): Promise<void> {
    for (const step of steps) {
      this.apply(step);
      await this.runPendingPromises();
    }
  }

  /** Lets pending promises of running processes continue. */
  private async runPendingPromises(): Promise<void> {
    for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
  }

  private apply(step: HistoryStep): void {
    switch (step._tag) {
      case 'advance':
        this.advance(step.ms);
        return;
      case 'stop':
      case 'suspend':
        this.pause(step.process, step._tag === 'suspend');
        return;
      case 'resume':
        // Operations that wait inside the process continue before it receives anything new.
        this.processes[step.process]?.resume();
        return;
      case 'setTime':
        this.setTime(step.process, step.ms);
        return;
      case 'provision':
        this.provision(step.process);
        return;
      case 'deliver':
        this.deliver(step.index, step.again);
        return;
      case 'nextWrite':
        this.value.nextWrite = step.how;
        return;
      case 'deliverWrites':
        this.value.applyDelayedWrites();
    }
  }

  private pause(index: number, suspended: boolean): void {
    const process = this.processes[index];
    if (!process) return;
    process.running = false;
    process.suspended = suspended;
  }

  private setTime(index: number, ms: number): void {
    const process = this.processes[index];
    if (!process?.running) return;
    process.timeOfDayMs += ms;
    // A running process reads its clock many times a second.
    process.clock.now();
  }

  private advance(ms: number): void {
    this.now += ms;
    this.processes.forEach((process, index) => {
      process.timeOfDayMs += ms;
      // Clocks of different machines drift apart within the protocol's bound.
      if (!process.suspended) process.steadyMs += ms * (1 + (index % 2 === 0 ? 0 : CLOCK_DRIFT_FRACTION / 2));
    });
    this.renewLease();
    this.reassignExpiredClaim();
    this.deliverClaimUpdates();
    for (const process of this.processes) process.completeDelays();
  }

  private renewLease(): void {
    const { claim } = this;
    const holder = claim ? this.processes[claim.process] : undefined;
    if (!claim || !holder?.running || this.now > claim.until) return;
    claim.until = this.now + LEASE_MS;
    holder.leaseUntil = holder.clock.now() + LEASE_MS * (1 - CLOCK_DRIFT_FRACTION) - LEASE_SAFETY_MARGIN_MS;
  }

  private reassignExpiredClaim(): void {
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
    process.leaseUntil = process.clock.now() + LEASE_MS * (1 - CLOCK_DRIFT_FRACTION) - LEASE_SAFETY_MARGIN_MS;
  }

  /** Simulates the watch: only running processes receive the state of the claim. */
  private deliverClaimUpdates(): void {
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
    const record = await process.journal.load(permit.token);
    if (record !== null && (await this.settleAll(process, permit)))
      process.duty.apply({ _tag: 'settled', token: permit.token });
    permit.end();
  }

  private async settleAll(process: SimulatedProcess, permit: Permit): Promise<boolean> {
    for (const { _tag, intent } of settlementsFor(process.journal.current, process.timeOfDayMs)) {
      if (_tag === 'abandon') {
        process.journal.recordOutcome(intent.name, 'abandoned');
        continue;
      }
      if (!permit.mayProceed()) return false;
      this.checkSend(permit, intent.name);
      // The repeated request is answered before another copy of it can arrive.
      this.execute(intent.name);
      this.settledBySuccessor.add(intent.name);
      await process.whenRunning();
      process.journal.recordOutcome(intent.name, 'repeated by successor', intent.shardIds.length);
    }
    return true;
  }

  private provision(index: number): void {
    const process = this.processes[index];
    const permit = process?.running ? process.duty.begin('rental request') : null;
    if (process && permit) void this.provisionUnder(process, permit).finally(() => permit.end());
  }

  private async provisionUnder(process: SimulatedProcess, permit: Permit): Promise<void> {
    process.requestCount += 1;
    const intent: ProvisioningIntent = {
      name: `r-${permit.token}-${process.requestCount}`,
      machineType: 'g',
      zone: 'a',
      spot: false,
      shardIds: [0],
      at: process.timeOfDayMs,
    };
    const outcome = await process.journal.announce(intent);
    if (outcome !== 'announced') return;
    this.announced.add(intent.name);
    // The request waits for the rate limit of the cloud, and for a connection.
    await process.delay();
    if (!permit.mayProceed()) {
      process.journal.recordOutcome(intent.name, 'withheld');
      return;
    }
    this.checkSend(permit, intent.name);
    const answered = new Promise<void>((resolve) =>
      this.requestsInFlight.push({ intent, onAnswer: resolve }),
    );
    await answered;
    await process.whenRunning();
    process.journal.recordOutcome(intent.name, 'rented', 1);
  }

  private checkSend(permit: Permit, name: string): void {
    // A later holder has acted, even if it no longer holds the duty.
    if (this.lastToken <= permit.token) return;
    const detail = `${name} sent under token ${permit.token}, but token ${this.lastToken} was issued before`;
    this.violations.push({ rule: 'late send', detail });
  }

  private deliver(position: number, again: boolean): void {
    const index = this.requestsInFlight.length === 0 ? -1 : position % this.requestsInFlight.length;
    const request = this.requestsInFlight[index];
    if (!request) return;
    if (!again) this.requestsInFlight.splice(index, 1);
    const { name } = request.intent;
    if (!this.announced.has(name)) this.violations.push({ rule: 'not announced', detail: name });
    if (!this.executed.has(name) && this.settledBySuccessor.has(name))
      this.violations.push({ rule: 'late rental', detail: name });
    this.execute(name);
    request.onAnswer();
  }

  /** Carries out a request; a request with a repeated name provisions nothing. */
  private execute(name: string): void {
    this.executed.add(name);
  }
}

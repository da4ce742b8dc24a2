/**
 * A process of the history simulation, with the real duty, clock and journal.
 *
 * State: a {@link SimulatedProcess} owns its clocks, whether it runs, its lease, and what waits inside it.
 * The simulation sets clocks and lease; the process alone resumes what waits.
 */
import type { DutyAudit } from '../audit.js';
import { SuspensionAwareClock } from '../clock.js';
import { Duty } from '../duty.js';
import type { FencedValue } from '../fenced-value.js';
import { ProvisioningJournal } from '../provisioning-journal.js';
import type { FencingToken } from '../token.js';

/** ms: how far the time of day of a process may be from true time. */
const TIME_OF_DAY_ERROR_MS = 25;
/** bytes: the largest value that may be stored. */
const MAX_VALUE_BYTES = 16 * 1024;

/** A process that may stand still, with its clocks, its duty and its journal. */
export class SimulatedProcess {
  /** False while the process, or its host, stands still. */
  running = true;
  /** Its host stands still, and its steady clock with it. */
  suspended = false;
  steadyMs = 0;
  timeOfDayMs = 1_700_000_000_000;
  /** The token of its last claim; null: it never had one. */
  token: FencingToken | null = null;
  /** ms on its own clock. */
  leaseUntil = Number.NEGATIVE_INFINITY;
  /** Requests that it named so far. */
  requestCount = 0;
  private readonly resumeWaiters: (() => void)[] = [];
  private readonly pendingDelays: (() => void)[] = [];
  readonly clock: SuspensionAwareClock;
  readonly duty: Duty;
  readonly journal: ProvisioningJournal;

  constructor(value: FencedValue, audit: DutyAudit, enforceFencing: boolean) {
    this.clock = new SuspensionAwareClock({
      steady: () => this.steadyMs,
      timeOfDay: () => this.timeOfDayMs,
      timeOfDayErrorMs: TIME_OF_DAY_ERROR_MS,
    });
    this.duty = new Duty({
      name: 'rent',
      claim: 'L',
      actingToken: () => this.actingToken(),
      audit,
      enforceFencing,
    });
    this.journal = new ProvisioningJournal({
      value: {
        read: () => this.receive(value.read()),
        write: (...args) => this.receive(value.write(...args)),
      },
      maxBytes: MAX_VALUE_BYTES,
      timeOfDay: () => this.timeOfDayMs,
      sleep: () => this.delay(),
    });
  }

  /** Time on the network, or in a queue: over with the next step of time in which the process runs. */
  async delay(): Promise<void> {
    await new Promise<void>((resolve) => this.pendingDelays.push(resolve));
    await this.whenRunning();
  }

  /** Time passes: what was on its way arrives. */
  completeDelays(): void {
    for (const resolve of this.pendingDelays.splice(0)) resolve();
  }

  private actingToken(): FencingToken | null {
    return this.clock.now() < this.leaseUntil ? this.token : null;
  }

  /** Resolves once the process runs. */
  whenRunning(): Promise<void> {
    if (this.running) return Promise.resolve();
    return new Promise((resolve) => this.resumeWaiters.push(resolve));
  }

  resume(): void {
    this.running = true;
    this.suspended = false;
    for (const resolve of this.resumeWaiters.splice(0)) resolve();
  }

  /** An answer is on the network for a while, and is read once the process runs. */
  private async receive<T>(answer: Promise<T>): Promise<T> {
    const received = await answer;
    await this.delay();
    return received;
  }
}

/**
 * A process of the history simulation, with the real duty, clock and journal.
 *
 * State: a {@link SimulatedProcess} owns its clocks, whether it runs, its lease, and its pending waits. The
 * simulation sets the clocks and the lease; only the process completes its waits.
 */
import type { DutyAudit } from '../audit.js';
import { SuspensionAwareClock } from '../clock.js';
import { Duty } from '../duty.js';
import type { FencedValue } from '../fenced-value.js';
import { ProvisioningJournal } from '../provisioning-journal.js';
import type { FencingToken } from '../token.js';

/** ms: maximum deviation of the wall clock of a process from true time. */
const TIME_OF_DAY_ERROR_MS = 25;
/** bytes: the largest value that may be stored. */
const MAX_VALUE_BYTES = 16 * 1024;

/** A process that can be stopped or suspended, with its clocks, its duty and its journal. */
export class SimulatedProcess {
  /** Whether the process runs: false while it is stopped or its host is suspended. */
  running = true;
  /** Whether the host is suspended, which stops the steady clock. */
  suspended = false;
  steadyMs = 0;
  timeOfDayMs = 1_700_000_000_000;
  /** The token of the last claim of the process; null if it never had one. */
  token: FencingToken | null = null;
  /** When the lease ends, in ms on the clock of the process. */
  leaseUntil = Number.NEGATIVE_INFINITY;
  /** Number of requests that the process has named. */
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

  /** Waits for the network or a queue: until the next time step in which the process runs. */
  async delay(): Promise<void> {
    await new Promise<void>((resolve) => this.pendingDelays.push(resolve));
    await this.whenRunning();
  }

  /** Completes all pending delays, because time has passed. */
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

  /** Delays an answer on the network, and returns it once the process runs. */
  private async receive<T>(answer: Promise<T>): Promise<T> {
    const received = await answer;
    await this.delay();
    return received;
  }
}

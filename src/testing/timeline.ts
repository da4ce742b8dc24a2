/**
 * Records the events in a deployment of processes on loopback, ordered by the host's steady clock, which all
 * of its processes share: requests to the stand-ins and their effects, signals and when they took effect,
 * delays of the stand-ins' event loop, and the controllers' logs. A failing test prints the timeline.
 *
 * State: a {@link Timeline} owns its entries and the timer that checks the event loop for delays.
 */
import { readFileSync } from 'node:fs';

const NANOSECONDS_PER_MS = 1_000_000;
/** Interval in ms between two checks of the event loop. */
const LOOP_CHECK_INTERVAL_MS = 10;
/** Delay of such a check in ms above which the timeline records it. */
const MIN_RECORDED_LOOP_DELAY_MS = 20;
/** Interval in ms between two checks of the state of a process that was sent SIGSTOP. */
const STATE_CHECK_INTERVAL_MS = 1;
/** Number of such checks after which the process counts as not stopped. */
const STATE_CHECKS = 2_000;
/** Range in ms before and after the requested time in which entries are printed. */
const PRINTED_BEFORE_MS = 8_000;
const PRINTED_AFTER_MS = 500;
/** Fields of a log line that an entry shows in another form, or not at all. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'steadyMs', 'event']);

/** The host's steady clock in ms; the same for all processes of the host. */
const hostSteadyMs = (): number => Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;

/** ms between this process's `performance.now()` and the host's steady clock. */
const PERFORMANCE_ORIGIN_MS = hostSteadyMs() - performance.now();

interface TimelineEntry {
  /** ms on the host's steady clock. */
  readonly at: number;
  readonly source: string;
  readonly text: string;
}

interface LogLine {
  readonly steadyMs: number;
  readonly event: string;
  readonly [field: string]: unknown;
}

const parseLine = (line: string): LogLine | null => {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    // The line is incomplete, because the process is still writing it, or is no log line.
    return null;
  }
};

const entryOfLine = (node: string, line: string): TimelineEntry | null => {
  const parsed = parseLine(line);
  if (parsed === null) return null;
  const fields = Object.entries(parsed).filter(([name]) => !COMMON_FIELDS.has(name));
  return {
    at: parsed.steadyMs,
    source: node,
    text: `${parsed.event} ${JSON.stringify(Object.fromEntries(fields))}`,
  };
};

/** The state of a process according to `/proc`; `T` means stopped. */
const stateOf = (pid: number): string => {
  try {
    return readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.[0] ?? '?';
  } catch {
    return 'gone';
  }
};

/** The recorded entries of all sources. */
export class Timeline {
  private readonly entries: TimelineEntry[] = [];
  private loopCheck: NodeJS.Timeout | null = null;

  /** Records an event with the present time. */
  record(source: string, text: string): void {
    this.entries.push({ at: hostSteadyMs(), source, text });
  }

  /** Records delays of this process's event loop from now on. */
  watchEventLoop(source: string): void {
    let last = performance.now();
    this.loopCheck = setInterval(() => {
      const lateMs = performance.now() - last - LOOP_CHECK_INTERVAL_MS;
      last = performance.now();
      if (lateMs > MIN_RECORDED_LOOP_DELAY_MS)
        this.record(source, `event loop late by ${lateMs.toFixed(1)} ms`);
    }, LOOP_CHECK_INTERVAL_MS);
  }

  /** Records when a process that was sent SIGSTOP is stopped. */
  recordWhenStopped(node: string, pid: number, checks = STATE_CHECKS): void {
    if (stateOf(pid) === 'T') this.record('signals', `${node} is stopped`);
    else if (checks > 0)
      setTimeout(() => this.recordWhenStopped(node, pid, checks - 1), STATE_CHECK_INTERVAL_MS);
    else this.record('signals', `${node} was not observed to stop`);
  }

  stop(): void {
    if (this.loopCheck) clearInterval(this.loopCheck);
  }

  /**
   * Renders the entries around a time, together with the controllers' logs (files by node).
   *
   * @param around - Time in ms of `performance.now()` in this process; null for the present time.
   */
  render(around: number | null, logs: ReadonlyMap<string, string>): string {
    const centerMs = around === null ? hostSteadyMs() : around + PERFORMANCE_ORIGIN_MS;
    const logged = [...logs].flatMap(([node, file]) =>
      readFileSync(file, 'utf8')
        .split('\n')
        .flatMap((line) => entryOfLine(node, line) ?? []),
    );
    return [...this.entries, ...logged]
      .filter(({ at }) => at > centerMs - PRINTED_BEFORE_MS && at < centerMs + PRINTED_AFTER_MS)
      .sort((a, b) => a.at - b.at)
      .map(({ at, source, text }) => `${(at - centerMs).toFixed(1).padStart(9)} ${source.padEnd(8)} ${text}`)
      .join('\n');
  }
}

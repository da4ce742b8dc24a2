/**
 * What happened in a deployment of processes on loopback, in the order of the host's steady clock, which is
 * one for all its processes: requests that reached the stand-ins and what they did, signals and when they
 * were in force, the stand-ins' own delays, and the controllers' logs. A failing test prints it.
 *
 * State: a {@link Timeline} owns its entries and the timer that looks for delays.
 */
import { readFileSync } from 'node:fs';

const NANOSECONDS_PER_MS = 1_000_000;
/** ms: pause between two looks at the event loop. */
const LOOP_CHECK_INTERVAL_MS = 10;
/** ms: lateness of such a look from which on it is noted. */
const MIN_RECORDED_LOOP_DELAY_MS = 20;
/** ms: pause between two looks at whether a stopped process stands still. */
const STATE_CHECK_INTERVAL_MS = 1;
/** Looks after which a process counts as not stopped. */
const STATE_CHECKS = 2_000;
/** ms printed before and after the moment that is asked about. */
const PRINTED_BEFORE_MS = 8_000;
const PRINTED_AFTER_MS = 500;
/** Fields of a log line that every entry shows in another form. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'steadyMs', 'event']);

/** ms, steady: the same for all processes of this host. */
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
    // A line that is still being written, or no log line.
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

/** The state of a process as the system shows it; `T` is stopped. */
const stateOf = (pid: number): string => {
  try {
    return readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.[0] ?? '?';
  } catch {
    return 'gone';
  }
};

/** Entries from all sources. */
export class Timeline {
  private readonly entries: TimelineEntry[] = [];
  private loopCheck: NodeJS.Timeout | null = null;

  /** Notes something that happened now. */
  record(source: string, text: string): void {
    this.entries.push({ at: hostSteadyMs(), source, text });
  }

  /** Notes from now on when this process's event loop stood still. */
  watchEventLoop(source: string): void {
    let last = performance.now();
    this.loopCheck = setInterval(() => {
      const lateMs = performance.now() - last - LOOP_CHECK_INTERVAL_MS;
      last = performance.now();
      if (lateMs > MIN_RECORDED_LOOP_DELAY_MS)
        this.record(source, `event loop late by ${lateMs.toFixed(1)} ms`);
    }, LOOP_CHECK_INTERVAL_MS);
  }

  /** Notes when a process that was sent SIGSTOP stands still. */
  recordWhenStopped(node: string, pid: number, checks = STATE_CHECKS): void {
    if (stateOf(pid) === 'T') this.record('signals', `${node} stands still`);
    else if (checks > 0)
      setTimeout(() => this.recordWhenStopped(node, pid, checks - 1), STATE_CHECK_INTERVAL_MS);
    else this.record('signals', `${node} was not seen to stand still`);
  }

  stop(): void {
    if (this.loopCheck) clearInterval(this.loopCheck);
  }

  /**
   * The entries around a moment, with the controllers' logs (files by node).
   *
   * @param around - ms of `performance.now()` in this process; null: now.
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

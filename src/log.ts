/**
 * The log, used by all modules. Each change of state has one event name, and each line holds the ids that
 * relate events to one another. `LOG_LEVEL` sets the minimum level that is written; the default, also for an
 * unknown level, is `info`. Owns the logger. `docs/log-events.md` lists the events.
 *
 * Each line has the time of day (`time`) and the time of the host's monotonic clock (`steadyMs`). All
 * processes of a host share that clock, so `steadyMs` orders the lines of several controllers on one host.
 */
import pino from 'pino';

const NANOSECONDS_PER_MS = 1_000_000;

/** Returns the time of the host's monotonic clock, in ms. All processes of the host share this clock. */
const hostSteadyMs = (): number => Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;

const level = process.env.LOG_LEVEL ?? 'info';

/** Structured log on standard error: one JSON object per line. */
export const log = pino(
  {
    level: ['error', 'warn', 'info', 'debug', 'silent'].includes(level) ? level : 'info',
    base: null,
    // pino calls this only for lines that are written.
    mixin: () => ({ steadyMs: hostSteadyMs() }),
  },
  pino.destination({ fd: 2, sync: true }),
);

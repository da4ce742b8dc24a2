/**
 * The log, used by all modules: one event name for each change of state, with the ids that tie events
 * together. `LOG_LEVEL` chooses the least level written, `info` where it names none that is known. Owns the
 * logger. `docs/log-events.md` lists the events.
 *
 * Each line has the time of day (`time`) and the host's steady clock (`steadyMs`), which is one for all
 * processes of a host: it puts the lines of several controllers in their order.
 */
import pino from 'pino';

const NANOSECONDS_PER_MS = 1_000_000;

/** ms, steady: the same for all processes of this host. */
const hostSteadyMs = (): number => Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS;

const level = process.env.LOG_LEVEL ?? 'info';

/** Structured log on standard error, one JSON object a line. */
export const log = pino(
  {
    level: ['error', 'warn', 'info', 'debug', 'silent'].includes(level) ? level : 'info',
    base: null,
    // Called for lines that are written only.
    mixin: () => ({ steadyMs: hostSteadyMs() }),
  },
  pino.destination({ fd: 2, sync: true }),
);

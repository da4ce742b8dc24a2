/**
 * The log, used by all modules: one event name for each change of state, with the ids that tie events
 * together. `LOG_LEVEL` chooses the least level written, `info` where it names none that is known. Owns the
 * logger. `docs/log-events.md` lists the events.
 */
import pino from 'pino';

const level = process.env.LOG_LEVEL ?? 'info';

/** Structured log on standard error, one JSON object a line. */
export const log = pino(
  { level: ['error', 'warn', 'info', 'debug', 'silent'].includes(level) ? level : 'info', base: null },
  pino.destination({ fd: 2, sync: true }),
);

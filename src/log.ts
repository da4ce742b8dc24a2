import pino from 'pino';

/** One event name per state change, with the ids that tie events together; to standard error. */
const level = process.env['LOG_LEVEL'] ?? 'info';

/** Structured log on standard error, one JSON object a line. */
export const log = pino(
  { level: ['error', 'warn', 'info', 'debug', 'silent'].includes(level) ? level : 'info', base: null },
  pino.destination({ fd: 2, sync: true }),
);

/** HTTP clients for unit tests that answer every request with the same outcome. No state. */
import type { CallOutcome, HttpClientFactory } from '../http/model.js';

/** Creates clients that answer every request with this outcome. */
export const alwaysAnswering =
  (outcome: CallOutcome): HttpClientFactory =>
  () => ({ request: () => Promise.resolve(outcome) });

/** An answer with this status and body. */
export const status = (code: number, body: unknown = null): CallOutcome => ({
  _tag: 'response',
  status: code,
  body,
});

/** The outcome of a request without an answer before its timeout. */
export const TIMED_OUT: CallOutcome = { _tag: 'noResponse', why: 'timeout' };

/** HTTP clients for tests of one client: whatever is asked, the answer is the same. No state. */
import type { CallOutcome, HttpClientFactory } from '../http/model.js';

/** Answers every request with this outcome. */
export const alwaysAnswering =
  (outcome: CallOutcome): HttpClientFactory =>
  () => ({ request: () => Promise.resolve(outcome) });

/** An answer with this status and body. */
export const status = (code: number, body: unknown = null): CallOutcome => ({
  _tag: 'response',
  status: code,
  body,
});

/** No answer in time. */
export const TIMED_OUT: CallOutcome = { _tag: 'noResponse', why: 'timeout' };

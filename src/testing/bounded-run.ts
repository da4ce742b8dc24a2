/**
 * Runs synchronous code with a time limit, so that a test of code that loops forever fails instead of
 * hanging.
 */
import { createContext, Script } from 'node:vm';

/**
 * Returns the result of `run`. Throws an Error if `run` takes longer than `timeoutMs`: the time limit of
 * `node:vm` is the only way to interrupt an endless loop from within its own thread.
 */
export const runWithTimeout = <Result>(timeoutMs: number, run: () => Result): Result => {
  const context = createContext({ run });
  return new Script('run()').runInContext(context, { timeout: timeoutMs }) as Result;
};

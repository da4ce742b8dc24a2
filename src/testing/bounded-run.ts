/** Runs synchronous code that may loop for ever, so that a test of it fails instead of standing still. */
import { createContext, Script } from 'node:vm';

/**
 * The result of `run`. Throws an Error if it takes longer than `timeoutMs`: the time limit of `node:vm` is the
 * one way to break off a loop without an end from inside its own thread.
 */
export const runWithTimeout = <Result>(timeoutMs: number, run: () => Result): Result => {
  const context = createContext({ run });
  return new Script('run()').runInContext(context, { timeout: timeoutMs }) as Result;
};

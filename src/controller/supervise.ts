/** Keeps the parts of a controller running. */
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import { SUPERVISE_RESTART_MS } from '../constants.js';
import { log } from '../log.js';

/** A slice that fails by a defect is started again: one broken decision must not end the process. */
export const supervise = <A>(name: string, effect: Effect.Effect<A>): Effect.Effect<A> =>
  Effect.catchCause(effect, (cause) => {
    log.error({ event: 'slice.failed', name, cause: Cause.pretty(cause) });
    return Effect.andThen(
      Effect.sleep(SUPERVISE_RESTART_MS),
      Effect.suspend(() => supervise(name, effect)),
    );
  });

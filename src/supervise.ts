import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import { SUPERVISED_RESTART_DELAY_MS } from './constants/supervision.js';
import { log } from './log.js';

/** A slice that fails by a defect is started again: one broken decision must not end the process. */
export const supervise = <A>(name: string, effect: Effect.Effect<A>): Effect.Effect<A> =>
  Effect.catchCause(effect, (cause) => {
    log.error({ event: 'slice.failed', name, cause: Cause.pretty(cause) });
    return Effect.andThen(
      Effect.sleep(SUPERVISED_RESTART_DELAY_MS),
      Effect.suspend(() => supervise(name, effect)),
    );
  });

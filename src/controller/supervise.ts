/**
 * Keeps the subsystems of a controller running. No state; called by the composition root and by the lifecycle
 * of the shards.
 */
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import { SUPERVISED_RESTART_DELAY_MS } from '../constants/supervision.js';
import { log } from '../log.js';

/** Restarts a subsystem that fails, after a pause, so that one defect does not end the process. */
export const supervise = <A>(name: string, effect: Effect.Effect<A>): Effect.Effect<A> =>
  Effect.catchCause(effect, (cause) => {
    log.error({ event: 'supervisor.subsystem_failed', name, cause: Cause.pretty(cause) });
    return Effect.andThen(
      Effect.sleep(SUPERVISED_RESTART_DELAY_MS),
      Effect.suspend(() => supervise(name, effect)),
    );
  });

/** Runs all subsystems concurrently, each supervised under its name. Starts them in the given order. */
export const superviseAll = (
  subsystems: Readonly<Record<string, Effect.Effect<unknown>>>,
): Effect.Effect<unknown> =>
  Effect.all(
    Object.entries(subsystems).map(([name, run]) => supervise(name, run)),
    { concurrency: 'unbounded' },
  );

/**
 * Keeps the subsystems of a controller running. No state; the composition root and the shards' lifecycle use
 * it.
 */
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import { SUPERVISED_RESTART_DELAY_MS } from '../constants/supervision.js';
import { log } from '../log.js';

/** A subsystem that fails by a defect is started again: one broken decision must not end the process. */
export const supervise = <A>(name: string, effect: Effect.Effect<A>): Effect.Effect<A> =>
  Effect.catchCause(effect, (cause) => {
    log.error({ event: 'supervisor.subsystem_failed', name, cause: Cause.pretty(cause) });
    return Effect.andThen(
      Effect.sleep(SUPERVISED_RESTART_DELAY_MS),
      Effect.suspend(() => supervise(name, effect)),
    );
  });

/** Runs all subsystems concurrently, started in the order given, each supervised under its name. */
export const superviseAll = (
  subsystems: Readonly<Record<string, Effect.Effect<unknown>>>,
): Effect.Effect<unknown> =>
  Effect.all(
    Object.entries(subsystems).map(([name, run]) => supervise(name, run)),
    { concurrency: 'unbounded' },
  );

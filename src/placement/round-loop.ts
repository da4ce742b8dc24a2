/**
 * Runs placement rounds: soon after a request, but not before the pause after the previous round has ended;
 * without a request, at a fixed interval. The pause bounds the processor time that rounds use. Owns the
 * request for a round and the end of the pause; `Shard` provides the round.
 */
import * as Effect from 'effect/Effect';
import { PLACEMENT_INTERVAL_MS } from '../constants/placement.js';
import type { RoundTrigger, StageQueries, SteadyClock } from './ports.js';
import { RoundPacer } from './round-pacer.js';

/** What the loop needs of its shard. */
export interface RoundLoopDependencies extends SteadyClock, Pick<StageQueries, 'isLost'> {
  /** Fraction of a core that this process may use. */
  readonly coreFraction: number;
  /** ms of processor time that this process has used. */
  readonly processorMs: () => number;
  /** Whether this controller may act for the shard now; if not, no round runs. */
  readonly mayAct: () => boolean;
  /** Runs one round. */
  readonly round: () => void;
}

/** Runs the rounds of one shard, one after the other, until its claim is lost. */
export class RoundLoop implements RoundTrigger {
  /** Ends the wait for a request; null: the loop is not waiting for one. */
  private wake: (() => void) | null = null;
  private roundRequested = false;
  /** ms on the steady clock: a requested round does not start earlier. */
  private pauseUntil = 0;
  private readonly pacer: RoundPacer;

  constructor(private readonly dependencies: RoundLoopDependencies) {
    this.pacer = new RoundPacer(dependencies.coreFraction);
  }

  readonly requestRound = (): void => {
    this.roundRequested = true;
    this.wake?.();
  };

  readonly run: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* this.waitForRound();
      this.roundRequested = false;
      if (this.dependencies.isLost()) return;
      if (!this.dependencies.mayAct()) continue;
      this.runRound();
    }
  });

  private runRound(): void {
    const { processorMs, now, round } = this.dependencies;
    const processorMsBefore = processorMs();
    round();
    const pauseMs = this.pacer.pauseAfter(processorMs() - processorMsBefore);
    this.pauseUntil = now() + pauseMs;
  }

  private waitForRound(): Effect.Effect<void> {
    return Effect.promise(
      () =>
        new Promise<void>((resolve) => {
          // Waits at least 1 ms, so that simultaneous events share a round, and until the pause has ended.
          const resolveAfterPause = (): void => {
            setTimeout(resolve, Math.max(1, this.pauseUntil - this.dependencies.now()));
          };
          if (this.roundRequested) {
            resolveAfterPause();
            return;
          }
          const timer = setTimeout(resolve, PLACEMENT_INTERVAL_MS);
          this.wake = () => {
            clearTimeout(timer);
            this.wake = null;
            resolveAfterPause();
          };
        }),
    );
  }
}

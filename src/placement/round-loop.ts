/**
 * When placement rounds run: soon after something changed, at least at a fixed interval, and with rests
 * that bound their processor time. Owns the request for a round and the end of the rest; `Shard` hands in
 * the round.
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
  /** May this controller act for the shard now? Without it no round runs. */
  readonly mayAct: () => boolean;
  /** One round. */
  readonly round: () => void;
}

/** Runs the rounds of one shard, one after the other, until its claim is lost. */
export class RoundLoop implements RoundTrigger {
  private wake: (() => void) | null = null;
  private roundRequested = false;
  /** ms on the steady clock. */
  private restUntil = 0;
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
      yield* this.pause();
      this.roundRequested = false;
      if (this.dependencies.isLost()) return;
      if (!this.dependencies.mayAct()) continue;
      this.runRound();
    }
  });

  private runRound(): void {
    const { processorMs, now, round } = this.dependencies;
    const begun = processorMs();
    round();
    const rest = this.pacer.pauseAfter(processorMs() - begun);
    this.restUntil = now() + rest;
  }

  private pause(): Effect.Effect<void> {
    return Effect.promise(
      () =>
        new Promise<void>((resolve) => {
          // A moment for events that come together, and the rest that the last round earned.
          const soon = (): void => {
            setTimeout(resolve, Math.max(1, this.restUntil - this.dependencies.now()));
          };
          if (this.roundRequested) {
            soon();
            return;
          }
          const timer = setTimeout(resolve, PLACEMENT_INTERVAL_MS);
          this.wake = () => {
            clearTimeout(timer);
            this.wake = null;
            soon();
          };
        }),
    );
  }
}

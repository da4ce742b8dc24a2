/**
 * The stage of a shard between its claim and the loss of the claim. `Shard` applies the events, and the other
 * classes of the shard query the stage through `StageQueries`.
 */
import { log } from '../log.js';
import type { ShardIdentity, StageQueries } from './ports.js';

/**
 * The activity of a shard. `loading`: it reads its runs. `rebuilding`: it waits until the workers of its
 * machines have reported their tasks. `placing`: it places work. `lost`: this process no longer holds its
 * claim.
 */
export type Stage = 'loading' | 'rebuilding' | 'placing' | 'lost';

/** Events that move a shard from one stage to the next. */
export type StageEvent =
  /** The shard's runs have been read. */
  | 'loaded'
  /** The shard's machines have reported their tasks, or the time for doing so has passed. */
  | 'rebuilt'
  /** Another process holds the shard's claim, or none does. */
  | 'lost';

/** The events that apply to each stage, with the stage that follows. No stage follows `lost`. */
const NEXT_STAGE: Readonly<Record<Stage, Readonly<Partial<Record<StageEvent, Stage>>>>> = {
  loading: { loaded: 'rebuilding', lost: 'lost' },
  rebuilding: { rebuilt: 'placing', lost: 'lost' },
  placing: { lost: 'lost' },
  lost: {},
};

/** The stage that an event leads to; null: the event does not apply to this stage. */
export const nextStage = (stage: Stage, event: StageEvent): Stage | null => NEXT_STAGE[stage][event] ?? null;

/** The stage of one shard. */
export class ShardStage implements StageQueries {
  private stage: Stage = 'loading';

  constructor(private readonly identity: ShardIdentity) {}

  get current(): Stage {
    return this.stage;
  }

  /**
   * Moves to the next stage; an event that does not apply to the current stage changes nothing and is logged.
   */
  apply(event: StageEvent): void {
    const next = nextStage(this.stage, event);
    if (next === null) {
      const { shardId, claim } = this.identity;
      log.warn({ event: 'shard.event_ignored', shardId, claim, stage: this.stage, ignored: event });
      return;
    }
    this.stage = next;
  }

  readonly isLoaded = (): boolean => this.stage !== 'loading';
  readonly isPlacing = (): boolean => this.stage === 'placing';
  readonly isLost = (): boolean => this.stage === 'lost';
}

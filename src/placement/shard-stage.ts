/**
 * How far a shard is between its claim and the claim's loss. Owns the stage; `Shard` sends the events, and
 * the shard's classes ask through `StageQueries`.
 */
import { log } from '../log.js';
import type { ShardIdentity, StageQueries } from './ports.js';

/** Why nothing is placed yet: the runs are being read, or the machines have yet to report. */
export type Stage = 'loading' | 'rebuilding' | 'placing' | 'lost';

/** What takes a shard from one stage to the next. */
export type StageEvent =
  /** Its runs are read. */
  | 'loaded'
  /** Its machines have said what is on them, or had their time to. */
  | 'rebuilt'
  /** Its claim is somebody else's, or nobody's. */
  | 'lost';

/** An event that a stage doesn't name does not belong to it. Nothing follows `lost`. */
const NEXT_STAGE: Readonly<Record<Stage, Readonly<Partial<Record<StageEvent, Stage>>>>> = {
  loading: { loaded: 'rebuilding', lost: 'lost' },
  rebuilding: { rebuilt: 'placing', lost: 'lost' },
  placing: { lost: 'lost' },
  lost: {},
};

/** The stage that an event leads to; null: it does not belong to this stage. */
export const nextStage = (stage: Stage, event: StageEvent): Stage | null => NEXT_STAGE[stage][event] ?? null;

/** The stage of one shard. */
export class ShardStage implements StageQueries {
  private stage: Stage = 'loading';

  constructor(private readonly identity: ShardIdentity) {}

  get current(): Stage {
    return this.stage;
  }

  /** Goes on to the next stage; an event that does not belong to this one changes nothing and is logged. */
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

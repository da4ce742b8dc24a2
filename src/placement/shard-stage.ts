/**
 * How far a shard is between its claim and the claim's loss. Owns the stage; `Shard` sends the events, and
 * the shard's classes ask through `StageQueries`.
 */
import type { StageQueries } from './ports.js';

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

const NEXT_STAGE: Readonly<Record<StageEvent, Stage>> = {
  loaded: 'rebuilding',
  rebuilt: 'placing',
  lost: 'lost',
};

/** The stage of one shard. */
export class ShardStage implements StageQueries {
  private stage: Stage = 'loading';

  get current(): Stage {
    return this.stage;
  }

  apply(event: StageEvent): void {
    this.stage = NEXT_STAGE[event];
  }

  readonly isLoaded = (): boolean => this.stage !== 'loading';
  readonly isPlacing = (): boolean => this.stage === 'placing';
  readonly isLost = (): boolean => this.stage === 'lost';
}

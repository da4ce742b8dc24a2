import * as Effect from 'effect/Effect';
import { LEVEL, LEVEL_MS } from '../constants.js';
import { log } from '../log.js';
import type { Store } from '../store/client.js';
import { LEVEL_KEY } from '../store/keys.js';
import type { Mirror } from '../store/mirror.js';

/**
 * What all nodes understand. During an upgrade nodes of two versions serve together, and one that dies before its turn
 * comes back old; once each has announced the new version there is no turn left, and that is recorded for good.
 */
export interface LevelInput {
  readonly store: Store;
  readonly mirror: Pick<Mirror, 'get' | 'ready'>;
  /** What each other node last announced; null: one was never heard. */
  readonly announced: () => readonly (number | null)[];
}

export class Level {
  constructor(private readonly input: LevelInput) {}

  /** Every node of the deployment understands at least this much, now and from now on. */
  get agreed(): number {
    const item = this.input.mirror.get(LEVEL_KEY);
    return item ? (item.value as { v: number }).v : 0;
  }

  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(LEVEL_MS);
      if (!this.input.mirror.ready || this.agreed >= LEVEL) continue;
      if (this.input.announced().some((level) => level === null || level < LEVEL)) continue;
      const version = this.input.mirror.get(LEVEL_KEY)?.version ?? 0;
      const result = yield* this.input.store.txn(
        [{ key: LEVEL_KEY, version }],
        [{ _tag: 'put', key: LEVEL_KEY, value: { v: LEVEL } }],
        'user',
      );
      log.info({ event: 'level.agreed', level: LEVEL, result: result._tag });
    }
  });
}

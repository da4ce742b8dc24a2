import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { PROTOCOL_VERSION, PROTOCOL_VERSION_CHECK_INTERVAL_MS } from '../constants/protocol.js';
import { fencedTransaction } from '../duties/fenced-store.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { PROTOCOL_VERSION_KEY } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readProtocolVersion, writeProtocolVersion } from './protocol-version-codec.js';

/**
 * What all nodes understand. During an upgrade nodes of two versions serve together, and one that dies before
 * its turn comes back old; once each has announced the new version there is no turn left, and that is
 * recorded for good.
 */
export interface ProtocolVersionInput {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get' | 'ready'>;
  /** What each other node last announced; null: one was never heard. */
  readonly announced: () => readonly (number | null)[];
  /** Leave to write it; null: this node does not hold the duty now. */
  readonly begin: () => Permit | null;
}

/** Agrees on the protocol version that every controller understands. */
export class ProtocolVersion {
  constructor(private readonly input: ProtocolVersionInput) {}

  /** Every node of the deployment understands at least this much, now and from now on. */
  get agreed(): number {
    const item = this.input.cache.get(PROTOCOL_VERSION_KEY);
    return item ? readProtocolVersion(item.value) : 0;
  }

  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(PROTOCOL_VERSION_CHECK_INTERVAL_MS);
      if (!this.input.cache.ready || this.agreed >= PROTOCOL_VERSION) continue;
      if (this.input.announced().some((level) => level === null || level < PROTOCOL_VERSION)) continue;
      const permit = this.input.begin();
      if (permit === null) continue;
      const version = this.input.cache.get(PROTOCOL_VERSION_KEY)?.version ?? 0;
      const result = yield* fencedTransaction(
        this.input.store,
        permit,
        [{ key: PROTOCOL_VERSION_KEY, version }],
        [{ _tag: 'put', key: PROTOCOL_VERSION_KEY, value: writeProtocolVersion(PROTOCOL_VERSION) }],
        'user',
      );
      permit.end();
      log.info({ event: 'level.agreed', level: PROTOCOL_VERSION, result: result._tag });
    }
  });
}

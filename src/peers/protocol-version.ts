/**
 * Agreement on the protocol version that all controllers understand. During an upgrade controllers of two
 * versions serve side by side, and one that dies before its turn comes back old; once each has announced the
 * new version no turn is left, and that is recorded for good. Owns no state: the agreed version stands in the
 * key-value store. Whoever must not use what earlier versions don't understand asks for it.
 */
import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { PROTOCOL_VERSION, PROTOCOL_VERSION_CHECK_INTERVAL_MS } from '../constants/protocol.js';
import { fencedTransaction } from '../duties/fenced-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { PROTOCOL_VERSION_KEY } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { log } from '../log.js';
import { readProtocolVersion, writeProtocolVersion } from './protocol-version-codec.js';

/** The agreed version as long as none is recorded. */
const INITIAL_VERSION = 0;
/** The version of a key that does not exist yet. */
const ABSENT_KEY_VERSION = 0;

/** What the agreement needs of the rest of the controller. */
export interface ProtocolVersionDependencies {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get' | 'ready'>;
  /** What each peer last announced; null: it has never sent a heartbeat. */
  readonly announcedVersions: () => readonly (number | null)[];
  /** Permit to record the version; null: this controller does not hold the duty now. */
  readonly beginAgreement: () => Permit | null;
}

/** Agrees on the protocol version that every controller understands. */
export class ProtocolVersion {
  constructor(private readonly dependencies: ProtocolVersionDependencies) {}

  /** Every controller of the deployment understands at least this version, now and from now on. */
  get agreed(): number {
    const entry = this.dependencies.cache.get(PROTOCOL_VERSION_KEY);
    return entry ? readProtocolVersion(entry.value) : INITIAL_VERSION;
  }

  /** Records this controller's version once every controller has announced it. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(PROTOCOL_VERSION_CHECK_INTERVAL_MS);
      if (!this.canAgree()) continue;
      const permit = this.dependencies.beginAgreement();
      if (permit !== null) yield* this.record(permit);
    }
  });

  private canAgree(): boolean {
    const { cache, announcedVersions } = this.dependencies;
    if (!cache.ready || this.agreed >= PROTOCOL_VERSION) return false;
    return announcedVersions().every((version) => version !== null && version >= PROTOCOL_VERSION);
  }

  private record(permit: Permit): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { store, cache } = this.dependencies;
      const result = yield* fencedTransaction(
        store,
        permit,
        [
          {
            key: PROTOCOL_VERSION_KEY,
            version: cache.get(PROTOCOL_VERSION_KEY)?.version ?? ABSENT_KEY_VERSION,
          },
        ],
        [{ _tag: 'put', key: PROTOCOL_VERSION_KEY, value: writeProtocolVersion(PROTOCOL_VERSION) }],
        'user',
      );
      permit.end();
      log.info({ event: 'protocol.version_agreed', version: PROTOCOL_VERSION, result: result._tag });
    });
  }
}

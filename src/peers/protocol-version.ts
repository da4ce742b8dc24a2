/**
 * Agreement on the protocol version that all controllers support. During an upgrade, controllers of two
 * versions run side by side, and a controller that crashes before it is upgraded restarts with the old
 * version. Once every controller has announced the new version, none is left to upgrade, and the new version
 * is recorded permanently. Has no state: the agreed version is stored in the key-value store. Subsystems read
 * it before they use a feature that earlier versions don't support.
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

/** The agreed version until one is recorded. */
const INITIAL_VERSION = 0;
/** The revision in the condition of a transaction that requires the key to be absent. */
const ABSENT_KEY_VERSION = 0;

/** What the agreement needs of the rest of the controller. */
export interface ProtocolVersionDependencies {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get' | 'ready'>;
  /** The protocol version that each peer last announced; null: the peer has never sent a heartbeat. */
  readonly announcedVersions: () => readonly (number | null)[];
  /** Returns a permit to record the version; null: this controller does not hold the duty now. */
  readonly beginAgreement: () => Permit | null;
}

/** Agrees on the protocol version that every controller supports. */
export class ProtocolVersion {
  constructor(private readonly dependencies: ProtocolVersionDependencies) {}

  /** The protocol version that every controller of the deployment supports, now and in the future. */
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

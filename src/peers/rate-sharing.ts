import * as Effect from 'effect/Effect';
import { HEARTBEAT_INTERVAL_MS } from '../constants/peers.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { Demand } from './heartbeat.js';
import { rateFor } from './network.js';

/** Each node's part of the state service's rates follows what the nodes ask for. */
export const distributeRates = (
  store: KeyValueStore,
  demands: () => readonly Demand[],
): Effect.Effect<never> => {
  const shard = (): void => {
    const others = demands();
    const requests = others.map((demand) => demand.requests);
    const changes = others.map((demand) => demand.changes);
    store.requests.setRate(rateFor(store.rates.requests, store.requests.demand(), requests));
    store.changes.setRate(rateFor(store.rates.changes, store.changes.demand(), changes));
  };
  return Effect.forever(Effect.andThen(Effect.sleep(HEARTBEAT_INTERVAL_MS), Effect.sync(shard)));
};

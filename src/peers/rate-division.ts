/**
 * Divides the key-value store's rates among the controllers, by what each asks for. Owns nothing: it sets the
 * rates of the store's client; the composition root runs it.
 */
import * as Effect from 'effect/Effect';
import { EVENLY_DIVIDED_RATE_FRACTION } from '../constants/key-value-store.js';
import { HEARTBEAT_INTERVAL_MS } from '../constants/peers.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { StoreDemand } from './heartbeat.js';

/**
 * This controller's part of a rate that all controllers divide among them: one fraction is divided evenly,
 * the rest by what each asks for. A peer that sends no heartbeats keeps its even part and what it last asked
 * for.
 */
const divideRate = (total: number, own: number, others: readonly number[]): number => {
  const nodes = others.length + 1;
  const all = others.reduce((sum, demand) => sum + demand, own);
  const byDemand = all > 0 ? own / all : 1 / nodes;
  return total * (EVENLY_DIVIDED_RATE_FRACTION / nodes + (1 - EVENLY_DIVIDED_RATE_FRACTION) * byDemand);
};

/** Keeps this controller's part of the store's rates in step with what the controllers ask for. */
export const divideStoreRates = (
  { requests, changes, rates }: Pick<KeyValueStore, 'requests' | 'changes' | 'rates'>,
  peerDemands: () => readonly StoreDemand[],
): Effect.Effect<never> => {
  const divide = (): void => {
    const demands = peerDemands();
    const requestDemands = demands.map((demand) => demand.requests);
    const changeDemands = demands.map((demand) => demand.changes);
    requests.setRate(divideRate(rates.requests, requests.demand(), requestDemands));
    changes.setRate(divideRate(rates.changes, changes.demand(), changeDemands));
  };
  return Effect.forever(Effect.andThen(Effect.sleep(HEARTBEAT_INTERVAL_MS), Effect.sync(divide)));
};

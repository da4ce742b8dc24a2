/**
 * Divides the rates of the key-value store among the controllers according to their demand. No state: sets
 * the rates of the store's client. The composition root runs it.
 */
import * as Effect from 'effect/Effect';
import { EVENLY_DIVIDED_RATE_FRACTION } from '../constants/key-value-store.js';
import { HEARTBEAT_INTERVAL_MS } from '../constants/peers.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { StoreDemand } from './heartbeat.js';

/**
 * Returns this controller's part of a rate that all controllers share: the fraction
 * `EVENLY_DIVIDED_RATE_FRACTION` is divided evenly, the remainder in proportion to the demand. A peer that
 * sends no heartbeats keeps its even part and the part for its last announced demand.
 */
const divideRate = (totalRate: number, ownDemand: number, peerDemands: readonly number[]): number => {
  const controllers = peerDemands.length + 1;
  const totalDemand = peerDemands.reduce((sum, demand) => sum + demand, ownDemand);
  const demandFraction = totalDemand > 0 ? ownDemand / totalDemand : 1 / controllers;
  return (
    totalRate *
    (EVENLY_DIVIDED_RATE_FRACTION / controllers + (1 - EVENLY_DIVIDED_RATE_FRACTION) * demandFraction)
  );
};

/**
 * Adjusts this controller's part of the store's rates to the controllers' demand, every heartbeat interval.
 */
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

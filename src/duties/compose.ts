/** Builds what a controller needs for its duties; the composition of the controller calls it once. */
import { ProvisioningJournal, readProvisioningEntry, type ProvisioningRecord } from '@dalegate/fencing';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { PROVISIONING_KEY } from '../kv-store/keys.js';
import { DutyRegistry, type DutyRegistryDependencies } from './duty-registry.js';
import { fencedValue } from './fenced-store.js';
import { OrderVerifier } from './order-verifier.js';

/** What the duties need of their controller. */
export interface DutiesDependencies extends DutyRegistryDependencies {
  readonly store: KeyValueStore;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every controller sends fencing tokens with its orders. */
  readonly tokensRequired: () => boolean;
}

/** The duties of one controller, with what guards them. */
export interface Duties {
  readonly registry: DutyRegistry;
  readonly orderVerifier: OrderVerifier;
  /** Null where fencing is off: requests are sent without being announced. */
  readonly journal: ProvisioningJournal | null;
  /** Provisioning requests, as the state service holds them; null: it does not answer. */
  readonly loadProvisioningRecord: () => Promise<ProvisioningRecord | null>;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Composes the duties of one controller. */
export const composeDuties = (dependencies: DutiesDependencies): Duties => {
  const { store, timeOfDay, enforceFencing, tokensRequired } = dependencies;
  const registry = new DutyRegistry(dependencies);
  const value = fencedValue(store, PROVISIONING_KEY, LEADER_CLAIM, 'user');
  const maxBytes = dependencies.valueBytes * VALUE_FILL_FRACTION;
  return {
    registry,
    orderVerifier: new OrderVerifier({ audit: registry.audit, tokensRequired, enforceFencing }),
    journal: enforceFencing ? new ProvisioningJournal({ value, maxBytes, timeOfDay, sleep }) : null,
    loadProvisioningRecord: async () => {
      const outcome = await value.read();
      return outcome._tag === 'unavailable' ? null : readProvisioningEntry(outcome.entry);
    },
  };
};

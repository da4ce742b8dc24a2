/**
 * Creates the objects that a controller needs for its duties; called once by the controller's composition.
 */
import { ProvisioningJournal, readProvisioningEntry, type ProvisioningRecord } from '@dalegate/fencing';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { PROVISIONING_KEY } from '../kv-store/keys.js';
import { DutyRegistry, type DutyRegistryDependencies } from './duty-registry.js';
import { fencedValue } from './fenced-store.js';
import { OrderVerifier } from './order-verifier.js';

/** What the duties require of their controller. */
export interface DutiesDependencies extends DutyRegistryDependencies {
  readonly store: KeyValueStore;
  /** bytes: the largest value that the key-value store accepts, now and after an announced change. */
  readonly valueBytes: number;
  /** Returns whether every controller sends fencing tokens with its orders. */
  readonly tokensRequired: () => boolean;
}

/** The duties of one controller, with the verifier of orders and the journal of provisioning requests. */
export interface Duties {
  readonly registry: DutyRegistry;
  readonly orderVerifier: OrderVerifier;
  /** Null if fencing is off: requests are then sent without being announced. */
  readonly journal: ProvisioningJournal | null;
  /** Reads the provisioning requests in the key-value store; null if it does not answer. */
  readonly loadProvisioningRecord: () => Promise<ProvisioningRecord | null>;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Creates the duties of one controller. */
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

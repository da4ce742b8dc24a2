import {
  EMPTY_PROVISIONING_RECORD,
  readProvisioningRecord,
  ProvisioningJournal,
  type ProvisioningRecord,
} from '@dalegate/fencing';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { PROVISIONING_KEY } from '../kv-store/keys.js';
import { fencedValue } from './fenced-store.js';
import { OrderVerifier } from './order-verifier.js';
import { DutyRegistry, type DutyRegistryDependencies } from './duty-registry.js';

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
  /** Open rental requests, as the state service holds them; null: it does not answer. */
  readonly loadProvisioningRecord: () => Promise<ProvisioningRecord | null>;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Composes the duties of one controller. */
export const composeDuties = (input: DutiesDependencies): Duties => {
  const { store, timeOfDay: wall, enforceFencing: enforce, tokensRequired } = input;
  const registry = new DutyRegistry(input);
  const maxBytes = input.valueBytes * VALUE_FILL_FRACTION;
  const rentals = fencedValue(store, PROVISIONING_KEY, LEADER_CLAIM, 'user');
  return {
    registry,
    orderVerifier: new OrderVerifier({ audit: registry.audit, tokensRequired, enforceFencing: enforce }),
    journal: enforce ? new ProvisioningJournal({ value: rentals, maxBytes, timeOfDay: wall, sleep }) : null,
    loadProvisioningRecord: async () => {
      const outcome = await rentals.read();
      if (outcome._tag === 'unavailable') return null;
      return outcome.entry.revision === 0
        ? EMPTY_PROVISIONING_RECORD
        : readProvisioningRecord(outcome.entry.value);
    },
  };
};

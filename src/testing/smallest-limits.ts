/**
 * The smallest limits of the key-value store that records must fit, and a store that notes what it is asked
 * to write.
 */
import { KeyValueStore } from '../kv-store/client.js';
import type { CallOutcome } from '../http/model.js';
import type { MachineType } from '../jobs/model.js';

/** Bytes of a value. */
export const SMALLEST_VALUE_BYTES = 2 * 1024;
/** Changes of a transaction. */
export const SMALLEST_TRANSACTION = 10;

/** Bytes of a value as JSON. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Machine types with long names and all fields. */
export const longMachineTypes = (count: number): readonly MachineType[] =>
  Array.from({ length: count }, (_, k) => ({
    name: `type-with-a-long-name-${k}`,
    cpus: 96,
    gpus: 8,
    memoryGb: 768.5,
    cacheGb: 200,
    price: 12.345678,
    spotPrice: 4.567891,
    bootS: 45,
    zones: ['hobart-north', 'launceston', 'hobart-south'],
  }));

/** A write as it is sent. */
interface SentWrite {
  readonly write?: string;
  readonly remove?: string;
  readonly data?: unknown;
}

/** A store with the smallest transactions, behind this request function. */
export const storeWithSmallestLimits = (
  request: (path: string, body: unknown) => Promise<CallOutcome>,
): KeyValueStore =>
  new KeyValueStore(
    { host: 'h', port: 1 },
    { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: SMALLEST_TRANSACTION, nodes: 1 },
    () => 0,
    () => ({ request: (_, path, body) => request(path, body) }),
  );

/** A store that keeps nothing but notes the writes of each transaction. */
export const recordingStore = (): { readonly store: KeyValueStore; readonly writes: SentWrite[][] } => {
  const writes: SentWrite[][] = [];
  const store = storeWithSmallestLimits((path, body) => {
    if (path !== '/txn') return Promise.resolve({ _tag: 'response', status: 404, body: { epoch: 1 } });
    writes.push((body as { writes: SentWrite[] }).writes);
    return Promise.resolve({ _tag: 'response', status: 200, body: { epoch: 2 } });
  });
  return { store, writes };
};

/** Stored values as the codecs write them, and as the codecs write them again after reading them. */
import {
  readProvisioningRecord,
  readTombstoneRecord,
  writeProvisioningRecord,
  writeTombstoneRecord,
} from '@dalegate/fencing';
import { readDurableAcknowledgement, writeDurableAcknowledgement } from '../cancellation/codec.js';
import { releaseWithoutIntent } from '../duties/release-without-intent.js';
import { readStoredTypes, catalogWrites } from '../fleet/catalog.js';
import { readMachineRecord, writeMachineRecord } from '../fleet/machine-record-codec.js';
import {
  readFinalRecord,
  readJobRecord,
  writeCancelledRecord,
  writeFinalRecord,
  writeJobRecord,
} from '../jobs/job-record-codec.js';
import { packIds, splitIds, unpackIds } from '../pipelines/codec.js';
import {
  partCountOf,
  asPrepared,
  readRunRecord,
  encodeRun,
  withValidAttempt,
  type StoredRun,
} from '../placement/run-codec.js';
import * as keys from '../kv-store/keys.js';
import { leaderDuties } from '../testing/duties.js';
import { toRecordedMessage, type Recording } from './fixtures.js';
import {
  ACKNOWLEDGEMENT,
  FINAL_RECORDS,
  JOB_RECORDS,
  LONG_RUN,
  MACHINE_RECORDS,
  MACHINE_TYPES,
  TOMBSTONE_RECORD,
  PROVISIONING_RECORDS,
  RUN,
  RUN_CHUNK,
  TOKEN,
} from './in-memory-objects.js';

/**
 * bytes: more than any recorded value takes. Also ms since the key-value store last answered, long enough to
 * count as an outage.
 */
const LARGE_LIMIT = 16 * 1024;
/** bytes: too little for the long run and the cancelled job; the catalog needs more than twice as much. */
const SMALL_VALUE_BYTES = 180;
/** Largest number of writes in one transaction. */
const TXN_OPS = 32;

const DEPENDENCIES = ['job-000398', 'job-000405', 'job-1000000', 'job-000412', 'job-999999'];

/** Encodes each object; entries are named by the kind and the object's name. */
const encodeAll = <T>(
  kind: string,
  objects: Readonly<Record<string, T>>,
  write: (object: T) => unknown,
): Recording =>
  Object.fromEntries(Object.entries(objects).map(([name, object]) => [`${kind}, ${name}`, write(object)]));

const runs = (): Readonly<Record<string, StoredRun>> => ({
  plain: encodeRun(RUN, RUN_CHUNK, LARGE_LIMIT, true),
  'as earlier versions read it': encodeRun(LONG_RUN, RUN_CHUNK, SMALL_VALUE_BYTES, false),
  'in parts': encodeRun(LONG_RUN, RUN_CHUNK, SMALL_VALUE_BYTES, true),
  prepared: asPrepared(encodeRun(RUN, RUN_CHUNK, LARGE_LIMIT, true)),
  'prepared, in parts': asPrepared(encodeRun(LONG_RUN, RUN_CHUNK, SMALL_VALUE_BYTES, true)),
  'that makes its attempt valid': withValidAttempt(encodeRun(RUN, RUN_CHUNK, LARGE_LIMIT, true), RUN.attempt),
});

const storeKeys = (): readonly string[] => [
  keys.SHARED_PREFIX,
  keys.claimKey('2'),
  keys.machineKey('i-000001'),
  keys.jobKey('job-000412'),
  keys.dependencyListKey('job-000412', 4),
  keys.summaryKey(2),
  keys.ordersKey(2),
  keys.acknowledgementKey('2'),
  keys.PROTOCOL_VERSION_KEY,
  keys.CATALOG_KEY,
  keys.catalogPartKey(4),
  keys.runsPrefix(2),
  keys.runKey(2, 'job-000412', 3),
  keys.runPartKey(2, 'job-000412', 3, 4),
  keys.PROVISIONING_KEY,
  keys.tombstonesKey(2),
  keys.finalKey('job-000412'),
];

/** The order to release machines that a holder sends the leader while the key-value store does not answer. */
const recordReleaseRequest = async (): Promise<Recording> => {
  const sent: Record<string, unknown> = {};
  await releaseWithoutIntent(
    {
      shardId: 1,
      duty: leaderDuties(TOKEN, () => 0).leaderDuty('release'),
      ownNode: 'n1',
      leaderNode: () => 'n0',
      msSinceStoreAnswered: () => LARGE_LIMIT,
      releaseLocally: () => Promise.resolve(false),
      sendRequest: (_node, path, body) => {
        Object.assign(sent, { path, body });
        return Promise.resolve(null);
      },
    },
    ['i-000001', 'i-000002'],
  );
  const { path, body } = sent;
  return {
    'path of the order to return machines': path,
    'order to return machines': body,
    'order to return machines, as sent': toRecordedMessage(body),
  };
};

/** Records stored values. */
export const recordStoredValues = async (): Promise<Recording> => ({
  ...encodeAll('job record', JOB_RECORDS, writeJobRecord),
  'job record, cancelled, shortened': writeCancelledRecord(
    JOB_RECORDS['cancelled, with followed jobs'] as never,
    SMALL_VALUE_BYTES,
  ),
  ...encodeAll('final record', FINAL_RECORDS, writeFinalRecord),
  ...encodeAll('machine record', MACHINE_RECORDS, writeMachineRecord),
  ...encodeAll('run', runs(), (run) => run),
  'list of followed jobs': packIds(DEPENDENCIES),
  'list of followed jobs, in parts': splitIds(DEPENDENCIES, 12).map(packIds),
  'catalog in one value': catalogWrites(MACHINE_TYPES, LARGE_LIMIT, TXN_OPS, true)?.map(storedChange),
  'catalog in parts': catalogWrites(MACHINE_TYPES, 2 * SMALL_VALUE_BYTES, TXN_OPS, true)?.map(storedChange),
  ...encodeAll('book of rental requests', PROVISIONING_RECORDS, (book) =>
    writeProvisioningRecord(book, TOKEN, LARGE_LIMIT),
  ),
  'book of removals': writeTombstoneRecord(TOMBSTONE_RECORD, LARGE_LIMIT),
  'mark of a holder': writeDurableAcknowledgement(ACKNOWLEDGEMENT),
  keys: storeKeys(),
  ...(await recordReleaseRequest()),
});

const storedChange = (change: { readonly key: string; readonly value?: unknown }): object => ({
  [change.key]: change.value,
});

const reencodeRun = (stored: unknown): unknown => {
  const { record, parts } = stored as StoredRun;
  const flags = record as { readonly q?: number; readonly v?: number };
  const run = readRunRecord(record, RUN_CHUNK, parts);
  const encoded = encodeRun(run, RUN_CHUNK, partCountOf(record) > 0 ? SMALL_VALUE_BYTES : LARGE_LIMIT, true);
  const withAttempt = flags.v === undefined ? encoded : withValidAttempt(encoded, flags.v);
  return flags.q === undefined ? withAttempt : asPrepared(withAttempt);
};

const reencodeCatalog = (stored: unknown): unknown => {
  const rows = Object.assign({}, ...(stored as object[])) as Record<string, unknown>;
  const itemOf = (key: string): { key: string; value: unknown; version: number } => ({
    key,
    value: rows[key],
    version: 7,
  });
  const types = readStoredTypes(itemOf(keys.CATALOG_KEY), itemOf);
  const valueBytes = keys.catalogPartKey(0) in rows ? 2 * SMALL_VALUE_BYTES : LARGE_LIMIT;
  return types && catalogWrites(types, valueBytes, TXN_OPS, true)?.map(storedChange);
};

/** Functions that read a stored value and write it again, by the prefix of the entry's name. */
const REENCODERS: Readonly<Record<string, (stored: unknown) => unknown>> = {
  'job record': (stored) => writeJobRecord(readJobRecord(stored)),
  'final record': (stored) => writeFinalRecord(readFinalRecord(stored)),
  'machine record': (stored) => writeMachineRecord(readMachineRecord(stored)),
  run: reencodeRun,
  'list of followed jobs, in parts': (stored) =>
    (stored as string[][]).map((part) => packIds(unpackIds(part))),
  'list of followed jobs': (stored) => packIds(unpackIds(stored as string[])),
  catalog: reencodeCatalog,
  'book of rental requests': (stored) =>
    writeProvisioningRecord(readProvisioningRecord(stored), TOKEN, LARGE_LIMIT),
  'book of removals': (stored) => writeTombstoneRecord(readTombstoneRecord(stored), LARGE_LIMIT),
  'mark of a holder': (stored) => writeDurableAcknowledgement(readDurableAcknowledgement(stored)),
};

/** Reads stored values and writes them again; entries that no codec reads are left out. */
export const reencode = (stored: Recording): Recording =>
  Object.fromEntries(
    Object.entries(stored).flatMap(([name, value]) => {
      const kind = Object.keys(REENCODERS).find((prefix) => name.startsWith(prefix));
      // A long run is written in the plain layout only while an earlier version may have to read it.
      if (kind === undefined || name.includes('as earlier versions read it')) return [];
      return [[name, REENCODERS[kind]?.(value)]];
    }),
  );

/** Stored values as the codecs write them, and as they are written again after they were read. */
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

/** bytes: room for everything that is recorded, and room for a part of it. */
const ROOM = 16 * 1024;
const LITTLE_ROOM = 180;
/** Changes in one transaction. */
const TXN_OPS = 32;

const FOLLOWED = ['job-000398', 'job-000405', 'job-1000000', 'job-000412', 'job-999999'];

/** Writes each object, under the name of its kind. */
const written = <T>(
  kind: string,
  objects: Readonly<Record<string, T>>,
  write: (object: T) => unknown,
): Recording =>
  Object.fromEntries(Object.entries(objects).map(([name, object]) => [`${kind}, ${name}`, write(object)]));

const runs = (): Readonly<Record<string, StoredRun>> => ({
  plain: encodeRun(RUN, RUN_CHUNK, ROOM, true),
  'as earlier versions read it': encodeRun(LONG_RUN, RUN_CHUNK, LITTLE_ROOM, false),
  'in parts': encodeRun(LONG_RUN, RUN_CHUNK, LITTLE_ROOM, true),
  prepared: asPrepared(encodeRun(RUN, RUN_CHUNK, ROOM, true)),
  'prepared, in parts': asPrepared(encodeRun(LONG_RUN, RUN_CHUNK, LITTLE_ROOM, true)),
  'that makes its attempt valid': withValidAttempt(encodeRun(RUN, RUN_CHUNK, ROOM, true), RUN.attempt),
});

const keysOfState = (): readonly string[] => [
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

/** A holder's order to the leader while the state service answers nobody. */
const orderToReturn = async (): Promise<Recording> => {
  const sent: Record<string, unknown> = {};
  await releaseWithoutIntent(
    {
      shardId: 1,
      duty: leaderDuties(TOKEN, () => 0).leaderDuty('release'),
      ownNode: 'n1',
      leaderNode: () => 'n0',
      msSinceStoreAnswered: () => ROOM,
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
  ...written('job record', JOB_RECORDS, writeJobRecord),
  'job record, cancelled, shortened': writeCancelledRecord(
    JOB_RECORDS['cancelled, with followed jobs'] as never,
    LITTLE_ROOM,
  ),
  ...written('final record', FINAL_RECORDS, writeFinalRecord),
  ...written('machine record', MACHINE_RECORDS, writeMachineRecord),
  ...written('run', runs(), (run) => run),
  'list of followed jobs': packIds(FOLLOWED),
  'list of followed jobs, in parts': splitIds(FOLLOWED, 12).map(packIds),
  'catalog in one value': catalogWrites(MACHINE_TYPES, ROOM, TXN_OPS, true)?.map(storedChange),
  'catalog in parts': catalogWrites(MACHINE_TYPES, 2 * LITTLE_ROOM, TXN_OPS, true)?.map(storedChange),
  ...written('book of rental requests', PROVISIONING_RECORDS, (book) =>
    writeProvisioningRecord(book, TOKEN, ROOM),
  ),
  'book of removals': writeTombstoneRecord(TOMBSTONE_RECORD, ROOM),
  'mark of a holder': writeDurableAcknowledgement(ACKNOWLEDGEMENT),
  keys: keysOfState(),
  ...(await orderToReturn()),
});

const storedChange = (change: { readonly key: string; readonly value?: unknown }): object => ({
  [change.key]: change.value,
});

const rereadRun = (stored: unknown): unknown => {
  const { record, parts } = stored as StoredRun;
  const marks = record as { readonly q?: number; readonly v?: number };
  const run = readRunRecord(record, RUN_CHUNK, parts);
  const again = encodeRun(run, RUN_CHUNK, partCountOf(record) > 0 ? LITTLE_ROOM : ROOM, true);
  const valid = marks.v === undefined ? again : withValidAttempt(again, marks.v);
  return marks.q === undefined ? valid : asPrepared(valid);
};

const rereadCatalog = (stored: unknown): unknown => {
  const rows = Object.assign({}, ...(stored as object[])) as Record<string, unknown>;
  const itemOf = (key: string): { key: string; value: unknown; version: number } => ({
    key,
    value: rows[key],
    version: 7,
  });
  const types = readStoredTypes(itemOf(keys.CATALOG_KEY), itemOf);
  const room = keys.catalogPartKey(0) in rows ? 2 * LITTLE_ROOM : ROOM;
  return types && catalogWrites(types, room, TXN_OPS, true)?.map(storedChange);
};

/** Reads stored values and writes them again, by the beginning of their names. */
const REREAD: Readonly<Record<string, (stored: unknown) => unknown>> = {
  'job record': (stored) => writeJobRecord(readJobRecord(stored)),
  'final record': (stored) => writeFinalRecord(readFinalRecord(stored)),
  'machine record': (stored) => writeMachineRecord(readMachineRecord(stored)),
  run: rereadRun,
  'list of followed jobs, in parts': (stored) =>
    (stored as string[][]).map((part) => packIds(unpackIds(part))),
  'list of followed jobs': (stored) => packIds(unpackIds(stored as string[])),
  catalog: rereadCatalog,
  'book of rental requests': (stored) => writeProvisioningRecord(readProvisioningRecord(stored), TOKEN, ROOM),
  'book of removals': (stored) => writeTombstoneRecord(readTombstoneRecord(stored), ROOM),
  'mark of a holder': (stored) => writeDurableAcknowledgement(readDurableAcknowledgement(stored)),
};

/** Stored values after they were read and written again; those that no codec reads are left out. */
export const reencode = (stored: Recording): Recording =>
  Object.fromEntries(
    Object.entries(stored).flatMap(([name, value]) => {
      const kind = Object.keys(REREAD).find((prefix) => name.startsWith(prefix));
      // The plain layout of a long run is only written while an earlier version may have to read it.
      if (kind === undefined || name.includes('as earlier versions read it')) return [];
      return [[name, REREAD[kind]?.(value)]];
    }),
  );

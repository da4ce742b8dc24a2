/**
 * The stored form of the record of provisioning requests. Controllers of earlier and later versions read it
 * too, so its short field names must not change.
 */
import type { VersionedValue } from './fenced-value.js';
import {
  EMPTY_PROVISIONING_RECORD,
  type ProvisioningIntent,
  type ProvisioningOutcome,
  type ProvisioningRecord,
  type SettledProvisioning,
} from './provisioning-record.js';
import { lastThatFit, storedBytes } from './stored-size.js';
import { parseToken, type FencingToken } from './token.js';

/**
 * Maximum length of the malformed entries in JSON, in UTF-16 units: longer ones could displace valid entries.
 */
const MALFORMED_MAX_LENGTH = 512;

interface StoredIntent {
  /** Name of the request. */
  readonly n: string;
  /** Machine type. */
  readonly b: string;
  /** Zone. */
  readonly z: string;
  /** Whether spot machines are requested. */
  readonly p: boolean;
  /** Shard of each machine. */
  readonly s: readonly number[];
  /** When the request was created, in ms since the epoch. */
  readonly a: number;
}

interface StoredSettled {
  /** Name of the request. */
  readonly n: string;
  /** Outcome. */
  readonly o: ProvisioningOutcome;
  /** Number of machines that were provisioned. */
  readonly m: number;
  /** When the outcome was recorded, in ms since the epoch. */
  readonly a: number;
}

/** The record as it is stored. */
export interface StoredProvisioningRecord {
  /** Fencing token under which the record was written. */
  readonly t: number;
  /** Open requests. */
  readonly o: readonly StoredIntent[];
  /** Requests that have an outcome. */
  readonly d: readonly StoredSettled[];
  /** Malformed entries; omitted if there are none. */
  readonly q?: readonly unknown[];
}

const isNonEmptyString = (value: unknown): value is string => typeof value === 'string' && value !== '';
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Returns null if the entry is malformed. */
const readIntent = (raw: unknown): ProvisioningIntent | null => {
  if (typeof raw !== 'object' || raw === null) return null;
  const { n, b, z, p, s, a } = raw as Partial<StoredIntent>;
  if (!isNonEmptyString(n) || !isNonEmptyString(b) || !isNonEmptyString(z) || typeof p !== 'boolean')
    return null;
  if (!Array.isArray(s) || s.length === 0 || !s.every(isCount)) return null;
  if (typeof a !== 'number' || !Number.isFinite(a)) return null;
  return { name: n, machineType: b, zone: z, spot: p, shardIds: s, at: a };
};

/** Returns no entry if it is malformed: past outcomes are only displayed, so they may be dropped. */
const readSettled = (raw: unknown): SettledProvisioning[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { n, o, m, a } = raw as Partial<StoredSettled>;
  if (!isNonEmptyString(n) || o === undefined || !isCount(m) || typeof a !== 'number') return [];
  return [{ name: n, outcome: o, machines: m, at: a }];
};

/** Reads a stored record; `malformed` receives the malformed entries, or the whole value. */
export const readProvisioningRecord = (value: unknown): ProvisioningRecord => {
  const unreadable = { ...EMPTY_PROVISIONING_RECORD, malformed: [value] };
  if (typeof value !== 'object' || value === null) return unreadable;
  const { t, o, d, q } = value as { t?: unknown; o?: unknown; d?: unknown; q?: unknown };
  const token = parseToken(t, 't');
  if (token._tag === 'invalid' || !Array.isArray(o)) return unreadable;
  const open: ProvisioningIntent[] = [];
  const malformed: unknown[] = Array.isArray(q) ? [...(q as unknown[])] : [];
  for (const raw of o as unknown[]) {
    const intent = readIntent(raw);
    if (intent) open.push(intent);
    else malformed.push(raw);
  }
  const settled = Array.isArray(d) ? (d as unknown[]).flatMap(readSettled) : [];
  return { token: token.token, open, settled, malformed };
};

const writeIntent = (intent: ProvisioningIntent): StoredIntent => ({
  n: intent.name,
  b: intent.machineType,
  z: intent.zone,
  p: intent.spot,
  s: [...intent.shardIds],
  a: intent.at,
});

const writeSettled = (settled: SettledProvisioning): StoredSettled => ({
  n: settled.name,
  o: settled.outcome,
  m: settled.machines,
  a: settled.at,
});

const malformedWithinLimit = (malformed: readonly unknown[]): readonly unknown[] =>
  JSON.stringify(malformed).length <= MALFORMED_MAX_LENGTH ? malformed : [];

/**
 * Writes a record under a token, in at most `maxBytes`: the oldest outcomes are omitted as far as necessary.
 * Returns null if the record does not fit without outcomes either.
 */
export const writeProvisioningRecord = (
  record: ProvisioningRecord,
  token: FencingToken,
  maxBytes: number,
): StoredProvisioningRecord | null => {
  const malformed = malformedWithinLimit(record.malformed);
  const open = record.open.map(writeIntent);
  const encode = (settled: readonly SettledProvisioning[]): StoredProvisioningRecord => ({
    t: token,
    o: open,
    d: settled.map(writeSettled),
    ...(malformed.length > 0 ? { q: malformed } : {}),
  });
  const stored = encode(lastThatFit(record.settled, maxBytes, encode));
  return storedBytes(stored) <= maxBytes ? stored : null;
};

/** Reads the record from the value of its key; a record that was never written is empty. */
export const readProvisioningEntry = ({ value, revision }: VersionedValue): ProvisioningRecord =>
  revision === 0 ? EMPTY_PROVISIONING_RECORD : readProvisioningRecord(value);

/**
 * The stored form of the record of provisioning requests. Controllers of earlier and later versions read it
 * too, so its short field names are fixed.
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

/** UTF-16 units of the malformed entries as JSON: beyond that they might leave no room for good ones. */
const MALFORMED_MAX_LENGTH = 512;

interface StoredIntent {
  /** Name. */
  readonly n: string;
  /** Machine type. */
  readonly b: string;
  /** Zone. */
  readonly z: string;
  /** Spot. */
  readonly p: boolean;
  /** Shards. */
  readonly s: readonly number[];
  /** Announced, ms since the epoch. */
  readonly a: number;
}

interface StoredSettled {
  /** Name. */
  readonly n: string;
  /** Outcome. */
  readonly o: ProvisioningOutcome;
  /** Machines. */
  readonly m: number;
  /** Settled, ms since the epoch. */
  readonly a: number;
}

/** The record as it is stored. */
export interface StoredProvisioningRecord {
  /** Fencing token. */
  readonly t: number;
  /** Open requests. */
  readonly o: readonly StoredIntent[];
  /** Requests that are over. */
  readonly d: readonly StoredSettled[];
  /** Malformed entries; missing if there are none. */
  readonly q?: readonly unknown[];
}

const isNonEmptyString = (value: unknown): value is string => typeof value === 'string' && value !== '';
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Null: the entry is malformed. */
const readIntent = (raw: unknown): ProvisioningIntent | null => {
  if (typeof raw !== 'object' || raw === null) return null;
  const { n, b, z, p, s, a } = raw as Partial<StoredIntent>;
  if (!isNonEmptyString(n) || !isNonEmptyString(b) || !isNonEmptyString(z) || typeof p !== 'boolean')
    return null;
  if (!Array.isArray(s) || s.length === 0 || !s.every(isCount)) return null;
  if (typeof a !== 'number' || !Number.isFinite(a)) return null;
  return { name: n, machineType: b, zone: z, spot: p, shardIds: s, at: a };
};

/** No entry if it is malformed: past outcomes are only shown. */
const readSettled = (raw: unknown): SettledProvisioning[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { n, o, m, a } = raw as Partial<StoredSettled>;
  if (!isNonEmptyString(n) || o === undefined || !isCount(m) || typeof a !== 'number') return [];
  return [{ name: n, outcome: o, machines: m, at: a }];
};

/** Reads a stored record; malformed entries, or the whole value, end up in `malformed`. */
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
 * Writes a record under a token, in at most `maxBytes`: past outcomes are left out as far as there is no
 * room, the oldest first. Null: its open requests alone do not fit.
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

/** Reads the record from its key; one that was never written is empty. */
export const readProvisioningEntry = ({ value, revision }: VersionedValue): ProvisioningRecord =>
  revision === 0 ? EMPTY_PROVISIONING_RECORD : readProvisioningRecord(value);

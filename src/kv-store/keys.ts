/**
 * Key names of the key-value store, built and parsed. What all controllers follow stands under one prefix, so
 * that one watch shows it. No state; used by whoever reads or writes the store.
 */

/** Prefix of the shared keys, which every controller follows. */
export const SHARED_PREFIX = 'w/';
/** Prefix of the claims. */
export const CLAIM_PREFIX = 'w/c/';
/** Prefix of the machine records. */
export const MACHINE_PREFIX = 'w/m/';
/** Prefix of the job records. */
export const JOB_PREFIX = 'w/j/';
/** Prefix of the parts of dependency lists. */
const DEPENDENCIES_PREFIX = 'w/d/';
/** Prefix of the relayed summaries. */
const SUMMARY_PREFIX = 'w/s/';
/** Prefix of the relayed orders. */
const ORDERS_PREFIX = 'w/o/';

/** A claim on a shard or on the leadership. */
export const claimKey = (claimName: string): string => `${CLAIM_PREFIX}${claimName}`;
/** A machine's record. */
export const machineKey = (id: string): string => `${MACHINE_PREFIX}${id}`;
/** A job's record. */
export const jobKey = (id: string): string => `${JOB_PREFIX}${id}`;
/** A part of the list of jobs that a job depends on, where the list is too long for its record. */
export const dependencyListKey = (id: string, part: number): string => `${DEPENDENCIES_PREFIX}${id}/${part}`;
/** The relayed summary of a shard. */
export const summaryKey = (shardId: number): string => `${SUMMARY_PREFIX}${shardId}`;
/** The relayed orders for a shard. */
export const ordersKey = (shardId: number): string => `${ORDERS_PREFIX}${shardId}`;
/** A holder's durable acknowledgement that it has seen the shared keys up to a revision. */
export const acknowledgementKey = (claimName: string): string => `w/k/${claimName}`;
/** The protocol version that every controller of this deployment is known to understand. */
export const PROTOCOL_VERSION_KEY = 'w/level';
/** The last known catalog. */
export const CATALOG_KEY = 'w/catalog';
/** A part of a catalog that one value cannot hold. */
export const catalogPartKey = (part: number): string => `w/catalog/${part}`;
/** All run records of a shard. */
export const runsPrefix = (shardId: number): string => `r/${shardId}/`;
/** A run record of a job's tasks. */
export const runKey = (shardId: number, job: string, chunk: number): string => `r/${shardId}/${job}/${chunk}`;
/** A part of a run whose record is too long for one value. */
export const runPartKey = (shardId: number, job: string, chunk: number, part: number): string =>
  `${runKey(shardId, job, chunk)}+${part}`;
/** Announced provisioning requests that are not over. Not shared: only the leader reads them. */
export const PROVISIONING_KEY = 'i/rent';
/** Tombstones of a shard's keys that are to be deleted. */
export const tombstonesKey = (shardId: number): string => `x/${shardId}`;
/** A job's final record. */
export const finalKey = (id: string): string => `f/${id}`;

/** The prefix of a shared key's kind; empty for a key that stands alone. */
export const kindOf = (key: string): string => key.slice(0, key.indexOf('/', SHARED_PREFIX.length) + 1);

/** The machine whose record stands under this key. */
export const machineOfKey = (key: string): string => key.slice(MACHINE_PREFIX.length);

/** A shared key whose changes some subsystem follows; `other`: none does. */
export type SharedKey =
  | { readonly _tag: 'claim'; readonly claimName: string }
  | { readonly _tag: 'machine'; readonly machine: string }
  | { readonly _tag: 'job'; readonly job: string }
  | { readonly _tag: 'dependencyList'; readonly job: string }
  | { readonly _tag: 'summary'; readonly shardId: number }
  | { readonly _tag: 'orders'; readonly shardId: number }
  | { readonly _tag: 'other' };

const OTHER_KEY: SharedKey = { _tag: 'other' };

/** A shard's id as keys and claims write it; null: the text is none. */
export const parseShardId = (text: string): number | null => {
  const shardId = Number(text);
  return Number.isInteger(shardId) && shardId >= 0 && String(shardId) === text ? shardId : null;
};

const parseShardKey = (tag: 'summary' | 'orders', text: string): SharedKey => {
  const shardId = parseShardId(text);
  return shardId === null ? OTHER_KEY : { _tag: tag, shardId };
};

const parseDependencyListKey = (text: string): SharedKey => {
  const end = text.indexOf('/');
  return end < 0 ? OTHER_KEY : { _tag: 'dependencyList', job: text.slice(0, end) };
};

/** Reads a shared key. */
export const parseSharedKey = (key: string): SharedKey => {
  const kind = kindOf(key);
  const name = key.slice(kind.length);
  switch (kind) {
    case CLAIM_PREFIX:
      return { _tag: 'claim', claimName: name };
    case MACHINE_PREFIX:
      return { _tag: 'machine', machine: name };
    case JOB_PREFIX:
      return { _tag: 'job', job: name };
    case DEPENDENCIES_PREFIX:
      return parseDependencyListKey(name);
    case SUMMARY_PREFIX:
      return parseShardKey('summary', name);
    case ORDERS_PREFIX:
      return parseShardKey('orders', name);
    default:
      return OTHER_KEY;
  }
};

/** A run record's key. */
interface RunKey {
  readonly job: string;
  readonly chunk: number;
  /** Number of the part; null: the record itself. */
  readonly part: number | null;
}

const RUN_KEY = /^r\/\d+\/([^/]+)\/(\d+)(?:\+(\d+))?$/;

/** Reads the key of a run record or of a part of one; null: it is none. */
export const parseRunKey = (key: string): RunKey | null => {
  const [, job, chunk, part] = RUN_KEY.exec(key) ?? [];
  if (!job) return null;
  return { job, chunk: Number(chunk), part: part === undefined ? null : Number(part) };
};

/**
 * Builds and parses the keys of the key-value store. All keys that every controller watches have one common
 * prefix, so that one watch shows their changes. No state; used by all modules that read or write the store.
 */

/** Prefix of the shared keys, which every controller watches. */
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

/** Key of a claim on a shard or on the leadership. */
export const claimKey = (claimName: string): string => `${CLAIM_PREFIX}${claimName}`;
/** Key of a machine's record. */
export const machineKey = (id: string): string => `${MACHINE_PREFIX}${id}`;
/** Key of a job's record. */
export const jobKey = (id: string): string => `${JOB_PREFIX}${id}`;
/** Key of a part of a job's list of dependencies, used when the list is too long for the job's record. */
export const dependencyListKey = (id: string, part: number): string => `${DEPENDENCIES_PREFIX}${id}/${part}`;
/** Key of the relayed summary of a shard. */
export const summaryKey = (shardId: number): string => `${SUMMARY_PREFIX}${shardId}`;
/** Key of the relayed orders for a shard. */
export const ordersKey = (shardId: number): string => `${ORDERS_PREFIX}${shardId}`;
/** Key of the durable acknowledgement by a claim's holder: the revision that its copy has reached. */
export const acknowledgementKey = (claimName: string): string => `w/k/${claimName}`;
/** Key of the protocol version that every controller of this deployment is known to support. */
export const PROTOCOL_VERSION_KEY = 'w/level';
/** Key of the last known catalog. */
export const CATALOG_KEY = 'w/catalog';
/** Key of a part of a catalog that is too large for one value. */
export const catalogPartKey = (part: number): string => `w/catalog/${part}`;
/** Prefix of all run records of a shard. */
export const runsPrefix = (shardId: number): string => `r/${shardId}/`;
/** Key of a run record, which covers one chunk of a job's tasks. */
export const runKey = (shardId: number, job: string, chunk: number): string => `r/${shardId}/${job}/${chunk}`;
/** Key of a part of a run record that is too long for one value. */
export const runPartKey = (shardId: number, job: string, chunk: number, part: number): string =>
  `${runKey(shardId, job, chunk)}+${part}`;
/** Key of the announced provisioning requests that have not ended. Not shared: only the leader reads it. */
export const PROVISIONING_KEY = 'i/rent';
/** Key of the tombstones of a shard's keys that are to be deleted. */
export const tombstonesKey = (shardId: number): string => `x/${shardId}`;
/** Key of a job's final record. */
export const finalKey = (id: string): string => `f/${id}`;

/** The prefix of a shared key's kind; empty for a key without a kind, such as `w/level`. */
export const kindOf = (key: string): string => key.slice(0, key.indexOf('/', SHARED_PREFIX.length) + 1);

/** The id of the machine whose record has this key. */
export const machineOfKey = (key: string): string => key.slice(MACHINE_PREFIX.length);

/** A parsed shared key; `other`: a key whose changes no subsystem acts on. */
export type SharedKey =
  | { readonly _tag: 'claim'; readonly claimName: string }
  | { readonly _tag: 'machine'; readonly machine: string }
  | { readonly _tag: 'job'; readonly job: string }
  | { readonly _tag: 'dependencyList'; readonly job: string }
  | { readonly _tag: 'summary'; readonly shardId: number }
  | { readonly _tag: 'orders'; readonly shardId: number }
  | { readonly _tag: 'other' };

const OTHER_KEY: SharedKey = { _tag: 'other' };

/** Parses a shard's id in the form used in keys and claims; null: the text is not a shard's id. */
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

/** Parses a shared key. */
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

/** The parsed key of a run record or of a part of one. */
interface RunKey {
  readonly job: string;
  readonly chunk: number;
  /** Index of the part; null: the key of the record itself. */
  readonly part: number | null;
}

const RUN_KEY = /^r\/\d+\/([^/]+)\/(\d+)(?:\+(\d+))?$/;

/** Parses the key of a run record or of a part of one; null: the key is neither. */
export const parseRunKey = (key: string): RunKey | null => {
  const [, job, chunk, part] = RUN_KEY.exec(key) ?? [];
  if (!job) return null;
  return { job, chunk: Number(chunk), part: part === undefined ? null : Number(part) };
};

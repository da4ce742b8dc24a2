/**
 * Key names in the state service, built and parsed. Everything that all nodes follow stands under one prefix:
 * one watch. No state.
 */
export const SHARED = 'w/';
/** Prefix of the claims. */
const CLAIM_PREFIX = 'w/c/';
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

/** The claim on a slot. */
export const claimKey = (claimName: string): string => `${CLAIM_PREFIX}${claimName}`;
/** A machine's record. */
export const machineKey = (id: string): string => `${MACHINE_PREFIX}${id}`;
/** A job's record. */
export const jobKey = (id: string): string => `${JOB_PREFIX}${id}`;
/** A part of the list of jobs that a job follows, where the list is too long for its record. */
export const followsKey = (id: string, part: number): string => `${DEPENDENCIES_PREFIX}${id}/${part}`;
/** The relayed summary of a share. */
export const summaryKey = (shardId: number): string => `${SUMMARY_PREFIX}${shardId}`;
/** The relayed orders for a share. */
export const ordersKey = (shardId: number): string => `${ORDERS_PREFIX}${shardId}`;
/** A holder's durable word that it has seen the shared keys up to a revision. */
export const markKey = (claimName: string): string => `w/k/${claimName}`;
/** The protocol version that every node of this deployment is known to understand. */
export const PROTOCOL_VERSION_KEY = 'w/level';
/** The last known catalog. */
export const CATALOG_KEY = 'w/catalog';
/** A part of a catalog that one value cannot hold. */
export const catalogPartKey = (part: number): string => `w/catalog/${part}`;
/** All run records of a share. */
export const runsPrefix = (shardId: number): string => `r/${shardId}/`;
/** A run record of a job's tasks. */
export const runKey = (shardId: number, job: string, chunk: number): string => `r/${shardId}/${job}/${chunk}`;
/** A part of a run whose record is too long for one value. */
export const runPartKey = (shardId: number, job: string, chunk: number, part: number): string =>
  `${runKey(shardId, job, chunk)}+${part}`;
/** Announced rental requests that are not over. Outside the shared keys: only the leader reads them. */
export const PROVISIONING_KEY = 'i/rent';
/** Keys of a share that are marked for removal. */
export const tombstonesKey = (shardId: number): string => `x/${shardId}`;
/** A job's final record. */
export const finalKey = (id: string): string => `f/${id}`;

/** The prefix of a shared key's kind; empty for a key that stands alone. */
export const kindOf = (key: string): string => key.slice(0, key.indexOf('/', SHARED.length) + 1);

/** The machine whose record stands under this key. */
export const machineOf = (key: string): string => key.slice(MACHINE_PREFIX.length);

/** A shared key whose changes some subsystem follows. */
export type SharedKey =
  | { readonly _tag: 'claim'; readonly claimName: string }
  | { readonly _tag: 'machine'; readonly machine: string }
  | { readonly _tag: 'job'; readonly job: string }
  | { readonly _tag: 'dependencyList'; readonly job: string }
  | { readonly _tag: 'summary'; readonly shardId: number }
  | { readonly _tag: 'orders'; readonly shardId: number }
  | { readonly _tag: 'other' };

const OTHER_KEY: SharedKey = { _tag: 'other' };

/** A shard's number as keys and claims write it; null: the text is none. */
export const parseShard = (text: string): number | null => {
  const shardId = Number(text);
  return Number.isInteger(shardId) && shardId >= 0 && String(shardId) === text ? shardId : null;
};

const parseShardKey = (tag: 'summary' | 'orders', text: string): SharedKey => {
  const shardId = parseShard(text);
  return shardId === null ? OTHER_KEY : { _tag: tag, shardId };
};

const parseDependenciesKey = (text: string): SharedKey => {
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
      return parseDependenciesKey(name);
    case SUMMARY_PREFIX:
      return parseShardKey('summary', name);
    case ORDERS_PREFIX:
      return parseShardKey('orders', name);
    default:
      return OTHER_KEY;
  }
};

/** `part` is null for the record itself. */
export const parseRunKey = (key: string): { job: string; chunk: number; part: number | null } | null => {
  const found = /^r\/\d+\/([^/]+)\/(\d+)(?:\+(\d+))?$/.exec(key);
  if (!found?.[1]) return null;
  return {
    job: found[1],
    chunk: Number(found[2]),
    part: found[3] === undefined ? null : Number(found[3]),
  };
};

/** Key names in the state service. Everything that all nodes follow stands under one prefix: one watch. */
export const SHARED = 'w/';
/** The claim on a slot. */
export const claimKey = (slot: string): string => `w/c/${slot}`;
/** A machine's record. */
export const machineKey = (id: string): string => `w/m/${id}`;
/** A job's record. */
export const jobKey = (id: string): string => `w/j/${id}`;
/** A part of the list of jobs that a job follows, where the list is too long for its record. */
export const followsKey = (id: string, part: number): string => `w/d/${id}/${part}`;
/** The relayed summary of a share. */
export const summaryKey = (slot: number): string => `w/s/${slot}`;
/** The relayed orders for a share. */
export const ordersKey = (slot: number): string => `w/o/${slot}`;
/** A holder's durable word that it has seen the shared keys up to a revision (`cancellation/durable-acknowledgement.ts`). */
export const markKey = (slot: string): string => `w/k/${slot}`;
/** What every node of this deployment is known to understand (`peers/protocol-version.ts`). */
export const LEVEL_KEY = 'w/level';
/** The last known catalog. */
export const CATALOG_KEY = 'w/catalog';
/** A part of a catalog that one value cannot hold. */
export const catalogPartKey = (part: number): string => `w/catalog/${part}`;
/** All run records of a share. */
export const runsPrefix = (share: number): string => `r/${share}/`;
/** A run record of a job's tasks. */
export const runKey = (share: number, job: string, chunk: number): string => `r/${share}/${job}/${chunk}`;
/** A part of a run whose record is too long for one value. */
export const runPartKey = (share: number, job: string, chunk: number, part: number): string =>
  `${runKey(share, job, chunk)}+${part}`;
/** Rental requests that were announced and are not over. Outside the shared keys: only the leader reads it. */
export const RENTALS_KEY = 'i/rent';
/** Keys of a share that are marked for removal. */
export const removalsKey = (share: number): string => `x/${share}`;
/** A job's final record. */
export const finalKey = (id: string): string => `f/${id}`;

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

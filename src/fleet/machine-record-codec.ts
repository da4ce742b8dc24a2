/** The stored format of a machine record. The names of the fields and their order are fixed. */
import type { MachineRecord } from './machine-record.js';

/** Converts a machine record to its stored format. */
export const writeMachineRecord = (record: MachineRecord): unknown => ({
  s: record.shardId,
  b: record.type,
  z: record.zone,
  p: record.spot,
  t: record.at,
  r: record.releasing,
  ...(record.addr === '' ? {} : { a: record.addr, n: record.agentEpoch }),
  ...(record.images && record.images.length > 0 ? { i: record.images } : {}),
  ...(record.release ? { w: record.release.reason, k: record.release.token } : {}),
});

/** Converts a machine record from its stored format. */
export const readMachineRecord = (data: unknown): MachineRecord => {
  const raw = data as {
    s: number;
    b: string;
    z: string;
    p: boolean;
    t: number;
    r: boolean;
    a?: string;
    n?: number;
    i?: string[];
    w?: string;
    k?: number;
  };
  return {
    shardId: raw.s,
    type: raw.b,
    zone: raw.z,
    spot: raw.p,
    at: raw.t,
    releasing: raw.r,
    addr: raw.a ?? '',
    agentEpoch: raw.n ?? 0,
    ...(raw.i ? { images: raw.i } : {}),
    ...(raw.w !== undefined && raw.k !== undefined ? { release: { reason: raw.w, token: raw.k } } : {}),
  };
};

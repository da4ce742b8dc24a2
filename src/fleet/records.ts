/** Why a machine is to be released, and under which token its holder said so. */
export interface ReleaseIntent {
  readonly reason: string;
  readonly token: number;
}

/**
 * The durable record of a machine: which share it belongs to. Its revision takes part in the worker's token.
 */
export interface MachineRecord {
  readonly shardId: number;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** ms since the epoch. */
  readonly at: number;
  /** Its holder wants it released and binds nothing to it any more. */
  readonly releasing: boolean;
  /** Where its worker was last heard, for the next holder; empty: not known. */
  readonly addr: string;
  readonly agentEpoch: number;
  /** Images that it has, most recently used last; for the share that it moves to. */
  readonly images?: readonly string[];
  /** With `releasing`; for reading only. Earlier versions don't write it. */
  readonly release?: ReleaseIntent;
}

/** The record of a machine that nobody has heard of yet. */
export const newMachineRecord = (
  shardId: number,
  kind: Pick<MachineRecord, 'type' | 'zone' | 'spot'>,
  at: number,
): MachineRecord => ({ shardId, ...kind, at, releasing: false, addr: '', agentEpoch: 0 });

/** Writes a machine record as it is stored. */
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

/** Reads a stored machine record. */
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

/** A job that waits whole: a gang, or another job of which nothing has begun. */
export interface WaitingGang {
  readonly job: string;
  readonly tasks: number;
  readonly waitedMs: number;
  /** How long it waits before machines are gathered for it. */
  readonly reserveAfterMs: number;
}

/**
 * Free machines of one zone are gathered for a gang that found no zone with room: whatever comes free there,
 * in whichever share, goes to the gang's share and is left alone by work of its priority and below.
 */
export interface Reservation {
  readonly shardId: number;
  readonly job: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly types: readonly string[] | null;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly tasks: number;
  readonly priority: number;
  /** ms since the hold began, for its bound. */
  readonly ageMs: number;
}

/** A free machine that the leader wants in another share. */
export interface MachineTransfer {
  readonly machine: string;
  readonly to: number;
}

/** What a share still needs, as its holder tells the leader: one entry a class of like jobs. */
export interface UnmetDemand {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spot: boolean;
  readonly gang: boolean;
  readonly oneZone: boolean;
  /** Worth an ordinary machine although spot ones are allowed. */
  readonly urgent: boolean;
  readonly priority: number;
  /** Tasks in all; gangs, and other jobs of which nothing has begun, are listed one by one too. */
  readonly tasks: number;
  readonly gangs: readonly WaitingGang[];
  /** Of a one-zone gang: room that its share already has, by zone. */
  readonly zoneCapacity: Readonly<Record<string, number>>;
  /** ms that the oldest has waited. */
  readonly waitedMs: number;
}

/** A machine without tasks that may go to another share. */
export interface SpareMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly idleS: number;
}

/** How many spare machines of one kind a share has beyond those that it names. */
export interface UnlistedSpares {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** What the holder of a share tells the leader. */
export interface ShardSummary {
  readonly shardId: number;
  readonly claim: number;
  /** Revision of the shared keys that this summary reflects. */
  readonly revision: number;
  readonly needs: readonly UnmetDemand[];
  /** Machines without any task. */
  readonly spares: readonly SpareMachine[];
  /** Of kinds with more spares than are named; earlier versions don't say. */
  readonly unlisted?: readonly UnlistedSpares[];
}

/**
 * The durable record of a machine: which shard the machine belongs to, and whether it is to be released.
 * Plain data; `src/fleet/machine-record-codec.ts` has the stored format. The leader creates and deletes
 * records; the holder of a shard updates them.
 */

/** A type, zone and market (spot or on-demand) of machines. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The key of a machine kind in maps. */
export const kindKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

/** The reason for a release, and the fencing token under which the holder of the shard requested it. */
export interface ReleaseIntent {
  readonly reason: string;
  readonly token: number;
}

/** The durable record of a machine. Its revision is one input of the token that the worker checks. */
export interface MachineRecord extends MachineKind {
  readonly shardId: number;
  /** When the machine was provisioned, in ms since the epoch; 0: not known. */
  readonly at: number;
  /** Whether the holder of the shard requests the machine's release; it binds no task to the machine then. */
  readonly releasing: boolean;
  /** Last known address (`host:port`) of the worker, for the next holder of the shard; empty: not known. */
  readonly addr: string;
  /** Number of that worker's session, which grows each time the worker starts. */
  readonly agentEpoch: number;
  /** Images on the machine, the most recently used last, for the shard that it is transferred to. */
  readonly images?: readonly string[];
  /** Set together with `releasing`; only shown to operators. Earlier versions don't write it. */
  readonly release?: ReleaseIntent;
}

/** A machine without a record, and the record to write for it. */
export interface NewMachine {
  readonly id: string;
  readonly record: MachineRecord;
}

/** Creates the record of a machine whose worker has sent no heartbeat; `at`: see {@link MachineRecord}. */
export const newMachineRecord = (shardId: number, kind: MachineKind, at: number): MachineRecord => ({
  shardId,
  ...kind,
  at,
  releasing: false,
  addr: '',
  agentEpoch: 0,
});

/**
 * The durable record of a machine: which shard it belongs to, and whether it is to be released. Plain data;
 * the stored form is `src/fleet/machine-record-codec.ts`. The leader creates and deletes records, the holder
 * of a shard changes them.
 */

/** A type, zone and market (spot or on-demand) of machines. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Names a kind of machine; key of maps. */
export const kindKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

/** Why a machine is to be released, and under which fencing token the holder of its shard said so. */
export interface ReleaseIntent {
  readonly reason: string;
  readonly token: number;
}

/** The durable record of a machine. Its revision takes part in the token of its worker. */
export interface MachineRecord extends MachineKind {
  readonly shardId: number;
  /** When it was provisioned, ms since the epoch; 0: not known. */
  readonly at: number;
  /** The holder of its shard wants it released and binds nothing to it any more. */
  readonly releasing: boolean;
  /** Address (`host:port`) at which its worker was last reached, for the next holder; empty: not known. */
  readonly addr: string;
  readonly agentEpoch: number;
  /** Images that it has, most recently used last; for the shard that it is transferred to. */
  readonly images?: readonly string[];
  /** With `releasing`; for reading only. Earlier versions don't write it. */
  readonly release?: ReleaseIntent;
}

/** A machine with the record that it is to have. */
export interface NewMachine {
  readonly id: string;
  readonly record: MachineRecord;
}

/** The record of a machine whose worker has not reported yet; `at` in ms since the epoch. */
export const newMachineRecord = (shardId: number, kind: MachineKind, at: number): MachineRecord => ({
  shardId,
  ...kind,
  at,
  releasing: false,
  addr: '',
  agentEpoch: 0,
});

/**
 * The data that other subsystems share with the leader, under one name; each type has a module of its own.
 */
export { newMachineRecord, type MachineRecord } from './machine-record.js';
export { readMachineRecord, writeMachineRecord } from './machine-record-codec.js';
export type { MachineTransfer } from './machine-transfer.js';
export type { Reservation } from './reservation.js';
export type {
  ShardSummary,
  SpareMachine,
  UnlistedSpares,
  UnmetDemand,
  WaitingGang,
} from './shard-summary.js';

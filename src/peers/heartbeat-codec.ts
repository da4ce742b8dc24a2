/**
 * Converts heartbeats between controllers from and to their wire form. Controllers of two versions run side
 * by side during an upgrade, so the names of the fields and their order are fixed. Task counts are passed by
 * reference instead of copied: there are thousands of them, and their wire form is the same as their internal
 * form. No state; the peer network calls these functions.
 */
import type { StoreDemand, PeerHeartbeat, ShardTaskCounts, TaskCounts } from './heartbeat.js';
import { readReservation, writeReservation, type WireReservation } from './reservation-codec.js';
import { readSummary, writeSummary, type WireSummary } from './summary-codec.js';
import { isMap, readEntries } from './wire-values.js';

/** The demand on the key-value store on the wire, in requests and changes per second. */
export interface WireDemand {
  readonly requests: number;
  readonly changes: number;
}

/** Task counts of a shard on the wire. */
export interface WireShardCounts {
  readonly slot: number;
  readonly jobs: readonly TaskCounts[];
}

/** A heartbeat on the wire. */
export interface WireHeartbeat {
  readonly from: string;
  readonly incarnation: string;
  /** The protocol version; earlier versions omit the field. */
  readonly level?: number;
  readonly lease: number | null;
  readonly stateAgeMs: number;
  readonly counts: readonly WireShardCounts[];
  readonly summaries: readonly WireSummary[];
  readonly deaf: boolean;
  /** Number of machines by shard id. */
  readonly strays: Readonly<Record<string, number>>;
  readonly demand: WireDemand;
  readonly holds: readonly WireReservation[];
}

const writeDemand = (demand: StoreDemand): WireDemand => ({
  requests: demand.requests,
  changes: demand.changes,
});

const readDemand = (wire: WireDemand): StoreDemand => ({
  requests: wire.requests,
  changes: wire.changes,
});

const writeShardCounts = (counts: ShardTaskCounts): WireShardCounts => ({
  slot: counts.shardId,
  jobs: counts.jobs,
});

const readShardCounts = (wire: WireShardCounts): ShardTaskCounts => ({
  shardId: wire.slot,
  jobs: wire.jobs,
});

/** Converts a heartbeat to its wire form. */
export const writeHeartbeat = (heartbeat: PeerHeartbeat): WireHeartbeat => ({
  from: heartbeat.from,
  incarnation: heartbeat.incarnation,
  ...(heartbeat.protocolVersion === undefined ? {} : { level: heartbeat.protocolVersion }),
  lease: heartbeat.lease,
  stateAgeMs: heartbeat.storeSilenceMs,
  counts: heartbeat.counts.map(writeShardCounts),
  summaries: heartbeat.summaries.map(writeSummary),
  deaf: heartbeat.workersUnreachable,
  strays: heartbeat.misroutedHeartbeats,
  demand: writeDemand(heartbeat.demand),
  holds: heartbeat.reservations.map(writeReservation),
});

/** Returns the name of the controller that sent a heartbeat; null: the value is not a heartbeat. */
export const readSender = (value: unknown): string | null => {
  const from = (value as Partial<WireHeartbeat> | null | undefined)?.from;
  return typeof from === 'string' ? from : null;
};

/**
 * Reads a heartbeat; null: the value names no sender. A list or map that is missing or malformed is read as
 * empty.
 */
export const readHeartbeat = (value: unknown): PeerHeartbeat | null => {
  const from = readSender(value);
  if (from === null) return null;
  const wire = value as WireHeartbeat;
  return {
    from,
    incarnation: wire.incarnation,
    ...(wire.level === undefined ? {} : { protocolVersion: wire.level }),
    lease: wire.lease,
    storeSilenceMs: wire.stateAgeMs,
    counts: readEntries(wire.counts, readShardCounts),
    summaries: readEntries(wire.summaries, readSummary),
    workersUnreachable: wire.deaf,
    misroutedHeartbeats: isMap(wire.strays) ? wire.strays : {},
    demand: isMap(wire.demand) ? readDemand(wire.demand) : { requests: 0, changes: 0 },
    reservations: readEntries(wire.holds, readReservation),
  };
};

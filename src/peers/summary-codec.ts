/**
 * Converts summaries of shards from and to the form in which heartbeats carry them and the key-value store
 * holds them; the names of the fields and their order are fixed. Lists of machine types and maps of capacity
 * are passed by reference instead of copied: their wire form is the same as their internal form. No state.
 */
import type {
  SpareMachine,
  ShardSummary,
  UnlistedSpares,
  UnmetDemand,
  WaitingGang,
} from '../fleet/shard-summary.js';
import { readEntries } from './wire-values.js';

/** A waiting gang, or another job of which no task has started, on the wire. */
export interface WireWaitingGang {
  readonly job: string;
  readonly tasks: number;
  readonly waitedMs: number;
  readonly patienceMs: number;
}

/** Unmet demand of a class of jobs, on the wire. */
export interface WireUnmetDemand {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spot: boolean;
  readonly gang: boolean;
  readonly oneZone: boolean;
  readonly urgent: boolean;
  readonly priority: number;
  readonly tasks: number;
  readonly gangs: readonly WireWaitingGang[];
  /** For one-zone gangs: number of tasks that the shard has capacity for, by zone. */
  readonly room: Readonly<Record<string, number>>;
  readonly waitedMs: number;
}

/** A spare machine on the wire. */
export interface WireSpareMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly idleS: number;
}

/** The number of spare machines of one kind that are not listed one by one, on the wire. */
export interface WireUnlistedSpares {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** The summary of a shard on the wire. */
export interface WireSummary {
  readonly share: number;
  readonly claim: number;
  readonly revision: number;
  readonly needs: readonly WireUnmetDemand[];
  readonly spares: readonly WireSpareMachine[];
  /** Earlier versions omit the field. */
  readonly unlisted?: readonly WireUnlistedSpares[];
}

const writeWaitingGang = (gang: WaitingGang): WireWaitingGang => ({
  job: gang.job,
  tasks: gang.tasks,
  waitedMs: gang.waitedMs,
  patienceMs: gang.reserveAfterMs,
});

const readWaitingGang = (wire: WireWaitingGang): WaitingGang => ({
  job: wire.job,
  tasks: wire.tasks,
  waitedMs: wire.waitedMs,
  reserveAfterMs: wire.patienceMs,
});

const writeUnmetDemand = (demand: UnmetDemand): WireUnmetDemand => ({
  cpus: demand.cpus,
  gpus: demand.gpus,
  memoryGb: demand.memoryGb,
  types: demand.types,
  zone: demand.zone,
  spot: demand.spot,
  gang: demand.gang,
  oneZone: demand.oneZone,
  urgent: demand.urgent,
  priority: demand.priority,
  tasks: demand.tasks,
  gangs: demand.gangs.map(writeWaitingGang),
  room: demand.zoneCapacity,
  waitedMs: demand.waitedMs,
});

const readUnmetDemand = (wire: WireUnmetDemand): UnmetDemand => ({
  cpus: wire.cpus,
  gpus: wire.gpus,
  memoryGb: wire.memoryGb,
  types: wire.types,
  zone: wire.zone,
  spot: wire.spot,
  gang: wire.gang,
  oneZone: wire.oneZone,
  urgent: wire.urgent,
  priority: wire.priority,
  tasks: wire.tasks,
  gangs: readEntries(wire.gangs, readWaitingGang),
  zoneCapacity: wire.room,
  waitedMs: wire.waitedMs,
});

const writeSpareMachine = (spare: SpareMachine): WireSpareMachine => ({
  id: spare.id,
  type: spare.type,
  zone: spare.zone,
  spot: spare.spot,
  idleS: spare.idleS,
});

const readSpareMachine = (wire: WireSpareMachine): SpareMachine => ({
  id: wire.id,
  type: wire.type,
  zone: wire.zone,
  spot: wire.spot,
  idleS: wire.idleS,
});

const writeUnlistedSpares = (spares: UnlistedSpares): WireUnlistedSpares => ({
  type: spares.type,
  zone: spares.zone,
  spot: spares.spot,
  count: spares.count,
});

const readUnlistedSpares = (wire: WireUnlistedSpares): UnlistedSpares => ({
  type: wire.type,
  zone: wire.zone,
  spot: wire.spot,
  count: wire.count,
});

/** Converts a summary to its wire and stored form. */
export const writeSummary = (summary: ShardSummary): WireSummary => ({
  share: summary.shardId,
  claim: summary.claim,
  revision: summary.revision,
  needs: summary.needs.map(writeUnmetDemand),
  spares: summary.spares.map(writeSpareMachine),
  ...(summary.unlisted === undefined ? {} : { unlisted: summary.unlisted.map(writeUnlistedSpares) }),
});

/** Converts a summary from its wire and stored form. */
export const readSummary = (wire: WireSummary): ShardSummary => ({
  shardId: wire.share,
  claim: wire.claim,
  revision: wire.revision,
  needs: readEntries(wire.needs, readUnmetDemand),
  spares: readEntries(wire.spares, readSpareMachine),
  ...(wire.unlisted === undefined ? {} : { unlisted: readEntries(wire.unlisted, readUnlistedSpares) }),
});

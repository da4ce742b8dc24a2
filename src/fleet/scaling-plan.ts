/**
 * The leader's plan for one round: which spare machines are transferred to other shards, which machines are
 * provisioned, and for which jobs the machines of a zone are reserved. Pure: the same input yields the same
 * plan. The leader calls `planScaling` in each round; no state of the planner outlives the call.
 */
import { MAX_MACHINES_PER_PROVISIONING_REQUEST } from '../constants/fleet.js';
import { MAX_RESERVATION_AGE_MS } from '../constants/reservations.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import { fittingTaskCount, typeAllowed } from '../jobs/model.js';
import { queueDemand, type JobDemand, type QueuedDemand, type TasksDemand } from './demand-queue.js';
import { MachineOffers, type MachineOffer } from './machine-offers.js';
import { kindKey } from './machine-record.js';
import type { Reservation } from './reservation.js';
import type { ProvisioningStep, ScalingPlan, ScalingPlanInput, TransferStep } from './scaling-model.js';
import { SparePools } from './spare-pools.js';
import type { UnmetDemand } from './shard-summary.js';

/** A zone, and the number of tasks of a job that lack a machine there. */
interface ZoneShortage {
  readonly zone: string;
  readonly missing: number;
}

const newReservation = (
  { shardId, demand, job }: JobDemand,
  zone: string,
  previous: Reservation | undefined,
): Reservation => ({
  shardId,
  job: job.job,
  zone,
  spot: demand.spot,
  types: demand.types,
  cpus: demand.cpus,
  gpus: demand.gpus,
  memoryGb: demand.memoryGb,
  tasks: job.tasks,
  priority: demand.priority,
  ageMs: previous?.zone === zone ? previous.ageMs : 0,
});

/** Subtracts the shard's own capacity that the job uses in the zone; returns the number of tasks left. */
const takeOwnCapacity = ({ job, zoneCapacity }: JobDemand, zone: string): number => {
  const capacity = zoneCapacity[zone] ?? 0;
  const used = Math.min(job.tasks, Math.max(0, capacity));
  zoneCapacity[zone] = capacity - used;
  return job.tasks - used;
};

/** Number of machines of the offer that are worth provisioning. */
const machinesToProvision = (demand: UnmetDemand, offer: MachineOffer, missing: number): number => {
  // For tasks that may use spot machines, an on-demand machine is worth its price only if full.
  const fullMachinesOnly = demand.spot && !offer.spot;
  const count = fullMachinesOnly
    ? Math.floor(missing / offer.taskCapacity)
    : Math.ceil(missing / offer.tasksServed);
  return Math.min(MAX_MACHINES_PER_PROVISIONING_REQUEST, count);
};

/** Merges the steps into one request per machine kind, across shards. */
const mergeByKind = (steps: readonly ProvisioningStep[]): readonly ProvisioningStep[] => {
  const merged = new Map<string, ProvisioningStep>();
  for (const step of steps) {
    const key = kindKey(step.type, step.zone, step.spot);
    const shardIds = [...(merged.get(key)?.shardIds ?? []), ...step.shardIds];
    merged.set(key, { ...step, shardIds: shardIds.slice(0, MAX_MACHINES_PER_PROVISIONING_REQUEST) });
  }
  return [...merged.values()];
};

/** One round of planning. State: the steps and reservations so far, and the remaining spare machines. */
class ScalingPlanner {
  private readonly transfers: TransferStep[] = [];
  private readonly provisioning: ProvisioningStep[] = [];
  private readonly reservations: Reservation[] = [];
  private readonly offers: MachineOffers;
  private readonly spares: SparePools;

  constructor(private readonly input: ScalingPlanInput) {
    this.offers = new MachineOffers(input);
    this.spares = new SparePools(input);
  }

  run(): ScalingPlan {
    for (const entry of queueDemand(this.input)) this.planFor(entry);
    return {
      steps: [...this.transfers, ...mergeByKind(this.provisioning)],
      reservations: this.reservations,
    };
  }

  private planFor(entry: QueuedDemand): void {
    switch (entry._tag) {
      case 'oneZoneGang':
        this.planOneZoneGang(entry);
        return;
      case 'waitingJob':
        this.planWaitingJob(entry);
        return;
      case 'tasks':
        this.planTasks(entry);
    }
  }

  private planTasks({ shardId, demand }: TasksDemand): void {
    if (this.input.outdatedShards.has(shardId)) return;
    const missing = this.gather(demand, shardId, null, demand.tasks);
    if (missing > 0) this.provision(demand, shardId, null, missing);
  }

  /** Gets machines for a one-zone gang in the zone with the fewest missing tasks, or else reserves a zone. */
  private planOneZoneGang(gang: JobDemand): void {
    const { shardId, demand, job, zoneCapacity } = gang;
    const previous = this.previousReservation(gang);
    const provisionableZones = new Set(this.offers.for(demand).map(({ zone }) => zone));
    const zones = new Set([...provisionableZones, ...Object.keys(zoneCapacity), ...this.spares.zones()]);
    if (this.input.outdatedShards.has(shardId)) {
      if (previous) this.reserve(gang, zones, previous);
      return;
    }
    const best = this.bestZone(gang, zones, provisionableZones);
    if (best === null) {
      this.reserve(gang, zones, previous);
      return;
    }
    const needed = takeOwnCapacity(gang, best);
    const missing = this.gather(demand, shardId, best, needed);
    if (missing > 0) this.provision(demand, shardId, best, missing);
    // In the gang's shard, other jobs must not take transferred machines before the last one has arrived.
    else if (job.tasks > 1 && (needed > 0 || previous))
      this.reservations.push(newReservation(gang, best, previous));
  }

  /** The zone with the fewest missing tasks, where machines for them can be provisioned; null: none. */
  private bestZone(
    gang: JobDemand,
    zones: ReadonlySet<string>,
    provisionable: ReadonlySet<string>,
  ): string | null {
    const { demand, job } = gang;
    let best: ZoneShortage | null = null;
    for (const zone of [...zones].sort()) {
      if (demand.zone !== null && demand.zone !== zone) continue;
      if (this.reservations.some((reservation) => reservation.zone === zone && reservation.job !== job.job))
        continue;
      const missing = this.missingIn(zone, gang);
      if (missing > 0 && !provisionable.has(zone)) continue;
      if (!best || missing < best.missing) best = { zone, missing };
    }
    return best?.zone ?? null;
  }

  /** Reserves a zone for a job that can't start because free machines are always gathered for gangs. */
  private planWaitingJob(waiting: JobDemand): void {
    if (waiting.job.waitedMs < waiting.job.reserveAfterMs || waiting.demand.gang) return;
    this.reserve({ ...waiting, zoneCapacity: {} }, new Set(), this.previousReservation(waiting));
  }

  /** Reserves a zone for a job that has waited long enough, and gathers spare machines there. */
  private reserve(job: JobDemand, zones: ReadonlySet<string>, previous: Reservation | undefined): void {
    if (job.job.waitedMs < job.job.reserveAfterMs) return;
    const zone =
      previous && previous.ageMs < MAX_RESERVATION_AGE_MS && this.canReserve(job, previous.zone)
        ? previous.zone
        : this.zoneToReserve(job, zones);
    if (zone === null) return;
    this.reservations.push(newReservation(job, zone, previous));
    this.gather(job.demand, job.shardId, zone, takeOwnCapacity(job, zone));
  }

  /** The zone with the fewest missing tasks among those that may be reserved; null: none. */
  private zoneToReserve(job: JobDemand, zones: ReadonlySet<string>): string | null {
    const catalogZones = [...this.input.catalog.values()].flatMap((type) => type.zones);
    let best: ZoneShortage | null = null;
    for (const zone of [...new Set([...zones, ...catalogZones])].sort()) {
      if (!this.canReserve(job, zone)) continue;
      const missing = this.missingIn(zone, job);
      if (!best || missing < best.missing) best = { zone, missing };
    }
    return best?.zone ?? null;
  }

  /** Whether the job could ever run in the zone, which has no reservation yet: two would block each other. */
  private canReserve({ demand, job }: JobDemand, zone: string): boolean {
    return (
      (demand.zone === null || demand.zone === zone) &&
      !this.reservations.some((reservation) => reservation.zone === zone) &&
      this.couldRun(demand, zone, job.tasks)
    );
  }

  /** Whether the existing machines of the zone could run the job if all of them were free. */
  private couldRun(demand: UnmetDemand, zone: string, tasks: number): boolean {
    let capacity = 0;
    for (const type of this.input.catalog.values()) {
      if (!typeAllowed(demand, type.name)) continue;
      const tasksOnType = fittingTaskCount(demand, type, MAX_TASKS_PER_JOB);
      for (const spot of demand.spot ? [true, false] : [false])
        capacity += tasksOnType * this.input.machineCount(type.name, zone, spot);
    }
    return capacity >= tasks;
  }

  private previousReservation({ shardId, job }: JobDemand): Reservation | undefined {
    return this.input.reservations.find(
      (reservation) => reservation.shardId === shardId && reservation.job === job.job,
    );
  }

  /** Number of tasks that neither the shard's own capacity nor other shards' spare machines can run. */
  private missingIn(zone: string, { shardId, demand, job, zoneCapacity }: JobDemand): number {
    return job.tasks - (zoneCapacity[zone] ?? 0) - this.spares.capacity(demand, shardId, zone);
  }

  /** Transfers spare machines of other shards; returns the number of tasks that still lack a machine. */
  private gather(demand: UnmetDemand, shardId: number, zone: string | null, missing: number): number {
    const gathered = this.spares.gather(demand, shardId, zone, missing);
    this.transfers.push(...gathered.transfers);
    return gathered.missing;
  }

  /** Provisions machines of the cheapest kind. If the cloud refuses it, the next round tries another kind. */
  private provision(demand: UnmetDemand, shardId: number, zone: string | null, missing: number): void {
    for (const offer of this.offers.for(demand)) {
      if (zone !== null && offer.zone !== zone) continue;
      const count = machinesToProvision(demand, offer, missing);
      if (count === 0) continue;
      this.provisioning.push({
        _tag: 'provision',
        shardIds: Array.from({ length: count }, () => shardId),
        type: offer.type.name,
        zone: offer.zone,
        spot: offer.spot,
      });
      return;
    }
  }
}

/** Computes the plan of one round. */
export const planScaling = (input: ScalingPlanInput): ScalingPlan => new ScalingPlanner(input).run();

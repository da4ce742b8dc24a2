/**
 * The leader's plan of one round: which spare machines go to other shards, which machines are provisioned,
 * and for which jobs machines of a zone are reserved. Pure: the same input gives the same plan. The leader
 * calls `planSteps` each round; the state of the planner ends with the call.
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

/** A zone, and how many tasks of a job lack a machine there. */
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

/** Takes what the job can use of the shard's own capacity in the zone; returns the tasks that are left. */
const takeOwnCapacity = ({ job, zoneCapacity }: JobDemand, zone: string): number => {
  const capacity = zoneCapacity[zone] ?? 0;
  const used = Math.min(job.tasks, Math.max(0, capacity));
  zoneCapacity[zone] = capacity - used;
  return job.tasks - used;
};

/** How many machines of the offer are worth asking for. */
const machinesToProvision = (demand: UnmetDemand, offer: MachineOffer, missing: number): number => {
  // An on-demand machine for work that could use spot is worth its price only when it is filled.
  const onlyFilled = demand.spot && !offer.spot;
  const count = onlyFilled
    ? Math.floor(missing / offer.taskCapacity)
    : Math.ceil(missing / offer.tasksServed);
  return Math.min(MAX_MACHINES_PER_PROVISIONING_REQUEST, count);
};

/** Machines of one kind go in one request, for whichever shards they are. */
const mergeByKind = (steps: readonly ProvisioningStep[]): readonly ProvisioningStep[] => {
  const merged = new Map<string, ProvisioningStep>();
  for (const step of steps) {
    const key = kindKey(step.type, step.zone, step.spot);
    const shardIds = [...(merged.get(key)?.shardIds ?? []), ...step.shardIds];
    merged.set(key, { ...step, shardIds: shardIds.slice(0, MAX_MACHINES_PER_PROVISIONING_REQUEST) });
  }
  return [...merged.values()];
};

/** One round of planning. State: the steps and reservations decided so far, and the spare machines left. */
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

  /** A one-zone gang gets its machines in the zone that lacks least, or else a reservation. */
  private planOneZoneGang(gang: JobDemand): void {
    const { shardId, demand, job, zoneCapacity } = gang;
    const previous = this.previousReservation(gang);
    const provisionable = new Set(this.offers.for(demand).map(({ zone }) => zone));
    const zones = new Set([...provisionable, ...Object.keys(zoneCapacity), ...this.spares.zones()]);
    if (this.input.outdatedShards.has(shardId)) {
      if (previous) this.reserve(gang, zones, previous);
      return;
    }
    const best = this.bestZone(gang, zones, provisionable);
    if (best === null) {
      this.reserve(gang, zones, previous);
      return;
    }
    const needed = takeOwnCapacity(gang, best);
    const missing = this.gather(demand, shardId, best, needed);
    if (missing > 0) this.provision(demand, shardId, best, missing);
    // What is on its way to the gang's shard must not be taken there by others before the last one arrives.
    else if (job.tasks > 1 && (needed > 0 || previous))
      this.reservations.push(newReservation(gang, best, previous));
  }

  /** The zone in which the gang lacks least and what it lacks can be provisioned; null: there is none. */
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

  /** A job that may run anywhere, but can't begin because machines are always gathered for gangs. */
  private planWaitingJob(waiting: JobDemand): void {
    if (waiting.job.waitedMs < waiting.job.reserveAfterMs || waiting.demand.gang) return;
    this.reserve({ ...waiting, zoneCapacity: {} }, new Set(), this.previousReservation(waiting));
  }

  /** Reserves a zone for a job that has waited long enough, and gathers machines there. */
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

  /** The zone that lacks least among those that may be reserved; null: there is none. */
  private zoneToReserve(job: JobDemand, zones: ReadonlySet<string>): string | null {
    const ofCatalog = [...this.input.catalog.values()].flatMap((type) => type.zones);
    let best: ZoneShortage | null = null;
    for (const zone of [...new Set([...zones, ...ofCatalog])].sort()) {
      if (!this.canReserve(job, zone)) continue;
      const missing = this.missingIn(zone, job);
      if (!best || missing < best.missing) best = { zone, missing };
    }
    return best?.zone ?? null;
  }

  /** One reservation a zone, so that two never block each other, and only where the job could ever run. */
  private canReserve({ demand, job }: JobDemand, zone: string): boolean {
    return (
      (demand.zone === null || demand.zone === zone) &&
      !this.reservations.some((reservation) => reservation.zone === zone) &&
      this.couldRun(demand, zone, job.tasks)
    );
  }

  /** Could the machines that the zone has already run the job, if all were free? */
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

  /** Tasks of the job that neither its shard nor spare machines of others in the zone take. */
  private missingIn(zone: string, { shardId, demand, job, zoneCapacity }: JobDemand): number {
    return job.tasks - (zoneCapacity[zone] ?? 0) - this.spares.capacity(demand, shardId, zone);
  }

  /** Transfers spare machines of other shards; returns the tasks that still lack one. */
  private gather(demand: UnmetDemand, shardId: number, zone: string | null, missing: number): number {
    const gathered = this.spares.gather(demand, shardId, zone, missing);
    this.transfers.push(...gathered.transfers);
    return gathered.missing;
  }

  /** Asks for machines of the cheapest kind; what the cloud refuses is tried elsewhere in the next round. */
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

/** Plans one round. */
export const planScaling = (input: ScalingPlanInput): ScalingPlan => new ScalingPlanner(input).run();

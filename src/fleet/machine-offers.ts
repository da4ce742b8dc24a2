/**
 * The machine kinds that could be provisioned for an unmet demand, cheapest first. Part of the scaling plan,
 * which creates one `MachineOffers` per round.
 */
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import { fittingTaskCount, typeAllowed, type MachineType } from '../jobs/model.js';
import type { ScalingPlanInput } from './scaling-model.js';
import type { UnmetDemand } from './shard-summary.js';

/** A machine kind that can run tasks of a demand. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Number of tasks of the demand that one machine runs; at most as many as the demand has. */
  readonly tasksServed: number;
  /** Number of tasks of this size that one machine has capacity for. */
  readonly taskCapacity: number;
  /** Price of the machine divided by `tasksServed`. */
  readonly pricePerTask: number;
}

type OfferInput = Pick<ScalingPlanInput, 'catalog' | 'isRefused'>;

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/** By price per task, then type and zone; spot before on-demand where all are equal. */
const compareOffers = (a: MachineOffer, b: MachineOffer): number =>
  a.pricePerTask - b.pricePerTask || compareText(a.type.name, b.type.name) || (a.zone < b.zone ? -1 : 1);

/**
 * The values of `spot` to request, in order of preference. Urgent demand may use on-demand machines although
 * it allows spot machines.
 */
const spotChoices = (demand: UnmetDemand): readonly boolean[] => {
  if (!demand.spot) return [false];
  return demand.urgent ? [true, false] : [true];
};

const offersOfType = (
  demand: UnmetDemand,
  type: MachineType,
  { isRefused }: OfferInput,
): readonly MachineOffer[] => {
  const tasksServed = fittingTaskCount(demand, type, demand.tasks);
  if (tasksServed === 0) return [];
  const taskCapacity = fittingTaskCount(demand, type, MAX_TASKS_PER_JOB);
  const offers: MachineOffer[] = [];
  for (const zone of type.zones) {
    if (demand.zone !== null && demand.zone !== zone) continue;
    for (const spot of spotChoices(demand)) {
      if (isRefused(type.name, zone, spot)) continue;
      const pricePerTask = (spot ? type.spotPrice : type.price) / tasksServed;
      offers.push({ type, zone, spot, tasksServed, taskCapacity, pricePerTask });
    }
  }
  return offers;
};

/** The offers for each demand of one round. State: a cache of them, because many gangs share one demand. */
export class MachineOffers {
  private readonly offersByDemand = new Map<UnmetDemand, readonly MachineOffer[]>();

  constructor(private readonly input: OfferInput) {}

  /** The offers for the demand, in ascending order of the price per task. */
  for(demand: UnmetDemand): readonly MachineOffer[] {
    let offers = this.offersByDemand.get(demand);
    if (!offers) this.offersByDemand.set(demand, (offers = this.find(demand)));
    return offers;
  }

  private find(demand: UnmetDemand): readonly MachineOffer[] {
    const offers: MachineOffer[] = [];
    for (const type of this.input.catalog.values())
      if (typeAllowed(demand, type.name)) offers.push(...offersOfType(demand, type, this.input));
    return offers.sort(compareOffers);
  }
}

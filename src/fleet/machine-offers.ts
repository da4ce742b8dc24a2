/**
 * The kinds of machines that could be provisioned for an unmet demand, cheapest first. Part of the scaling
 * plan, which creates one `MachineOffers` a round.
 */
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import { fittingTaskCount, typeAllowed, type MachineType } from '../jobs/model.js';
import type { ScalingPlanInput } from './scaling-model.js';
import type { UnmetDemand } from './shard-summary.js';

/** A kind of machine that serves a demand. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Tasks of the demand that one such machine takes. */
  readonly tasksServed: number;
  /** Tasks of this size that it has room for. */
  readonly taskCapacity: number;
  /** Price a task. */
  readonly pricePerTask: number;
}

type OfferInput = Pick<ScalingPlanInput, 'catalog' | 'isRefused'>;

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/** By cost, then type and zone; spot before on-demand where all are equal. */
const compareOffers = (a: MachineOffer, b: MachineOffer): number =>
  a.pricePerTask - b.pricePerTask || compareText(a.type.name, b.type.name) || (a.zone < b.zone ? -1 : 1);

/**
 * Is spot asked for, in the order of preference? Urgent work may go to on-demand machines though spot would
 * do.
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
  const usedTasks = fittingTaskCount(demand, type, demand.tasks);
  if (usedTasks === 0) return [];
  const taskCapacity = fittingTaskCount(demand, type, MAX_TASKS_PER_JOB);
  const offers: MachineOffer[] = [];
  for (const zone of type.zones) {
    if (demand.zone !== null && demand.zone !== zone) continue;
    for (const spot of spotChoices(demand)) {
      if (isRefused(type.name, zone, spot)) continue;
      const cost = (spot ? type.spotPrice : type.price) / usedTasks;
      offers.push({ type, zone, spot, tasksServed: usedTasks, taskCapacity, pricePerTask: cost });
    }
  }
  return offers;
};

/** Offers for each demand of one round. State: those found so far, since many gangs share one demand. */
export class MachineOffers {
  private readonly found = new Map<UnmetDemand, readonly MachineOffer[]>();

  constructor(private readonly input: OfferInput) {}

  /** Offers for the demand, cheapest for each task first. */
  for(demand: UnmetDemand): readonly MachineOffer[] {
    let offers = this.found.get(demand);
    if (!offers) this.found.set(demand, (offers = this.find(demand)));
    return offers;
  }

  private find(demand: UnmetDemand): readonly MachineOffer[] {
    const offers: MachineOffer[] = [];
    for (const type of this.input.catalog.values())
      if (typeAllowed(demand, type.name)) offers.push(...offersOfType(demand, type, this.input));
    return offers.sort(compareOffers);
  }
}

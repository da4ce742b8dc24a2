import { HIRE_MAX, TASKS_MAX } from '../constants.js';
import { howMany, type Catalog, type Demand, type MachineType } from '../jobs/model.js';
import type { Need, Summary } from './records.js';

/** What the leader does about the shares' needs: first free machines of other shares, then new ones. */
export type Step =
  | { readonly _tag: 'move'; readonly machine: string; readonly from: number; readonly to: number }
  | {
      readonly _tag: 'rent';
      /** The share that each machine is for. */
      readonly shares: readonly number[];
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    };

export interface PlanInput {
  readonly summaries: readonly Summary[];
  readonly catalog: Catalog;
  /** No capacity was found there lately. */
  readonly refused: (type: string, zone: string, spot: boolean) => boolean;
}

interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Tasks of the need on one such machine, and how many it could hold. */
  readonly fits: number;
  readonly whole: number;
  readonly cost: number;
}

const demand = (need: Need): Demand => ({ cpus: need.cpus, gpus: need.gpus, memoryGb: need.memoryGb });

/** The machines that could serve a need, cheapest for each task first. */
export const offers = (need: Need, input: PlanInput): readonly Offer[] => {
  const list: Offer[] = [];
  for (const type of input.catalog.values()) {
    if (need.types !== null && !need.types.includes(type.name)) continue;
    const fits = howMany(demand(need), type, need.tasks);
    if (fits === 0) continue;
    const whole = howMany(demand(need), type, TASKS_MAX);
    for (const zone of type.zones) {
      if (need.zone !== null && need.zone !== zone) continue;
      // Work that may use spot machines is worth an ordinary one only to save a target.
      const kinds = !need.spot ? [false] : need.urgent ? [true, false] : [true];
      for (const spot of kinds) {
        if (input.refused(type.name, zone, spot)) continue;
        list.push({ type, zone, spot, fits, whole, cost: (spot ? type.spotPrice : type.price) / fits });
      }
    }
  }
  return list.sort(
    (a, b) =>
      a.cost - b.cost ||
      (a.type.name < b.type.name ? -1 : a.type.name > b.type.name ? 1 : 0) ||
      (a.zone < b.zone ? -1 : 1),
  );
};

export const planSteps = (input: PlanInput): readonly Step[] => {
  const steps: Step[] = [];
  const spares = new Map<string, { share: number; type: string; zone: string; spot: boolean }>();
  for (const summary of input.summaries) {
    for (const spare of summary.spares)
      spares.set(spare.id, { share: summary.share, type: spare.type, zone: spare.zone, spot: spare.spot });
  }
  const all = input.summaries
    .flatMap((summary) => summary.needs.map((need) => ({ share: summary.share, need })))
    .sort((a, b) => b.need.priority - a.need.priority || b.need.waitedMs - a.need.waitedMs);

  for (const { share, need } of all) {
    // A one-zone gang needs its machines in one zone: complete the zone that lacks least.
    const groups = need.gang && need.oneZone ? need.sizes : [need.tasks];
    const room = { ...need.room };
    for (const size of groups) {
      let missing = size;
      let zone: string | null = null;
      if (need.gang && need.oneZone) {
        const reach = new Map<string, number>();
        for (const offer of offers(need, input)) reach.set(offer.zone, 0);
        for (const spare of spares.values()) {
          if (fitsSpare(need, spare, input) > 0)
            reach.set(spare.zone, (reach.get(spare.zone) ?? 0) + fitsSpare(need, spare, input));
        }
        let best: { zone: string; lack: number } | null = null;
        for (const [name, spareRoom] of [...reach].sort(([a], [b]) => (a < b ? -1 : 1))) {
          const lack = size - (room[name] ?? 0) - spareRoom;
          if (!best || lack < best.lack) best = { zone: name, lack };
        }
        if (!best) continue;
        zone = best.zone;
        const have = Math.min(size, Math.max(0, room[zone] ?? 0));
        room[zone] = (room[zone] ?? 0) - have;
        missing = size - have;
      }
      for (const [id, spare] of [...spares].sort(([a], [b]) => (a < b ? -1 : 1))) {
        if (missing <= 0) break;
        if (spare.share === share || (zone !== null && spare.zone !== zone)) continue;
        const fits = fitsSpare(need, spare, input);
        if (fits === 0) continue;
        spares.delete(id);
        steps.push({ _tag: 'move', machine: id, from: spare.share, to: share });
        missing -= fits;
      }
      for (const offer of offers(need, input)) {
        if (missing <= 0) break;
        if (zone !== null && offer.zone !== zone) continue;
        // An ordinary machine for work that could use spot is worth its price only when filled.
        const filled = need.spot && !offer.spot;
        const count = Math.min(
          HIRE_MAX,
          filled ? Math.floor(missing / offer.whole) : Math.ceil(missing / offer.fits),
        );
        if (count === 0) continue;
        steps.push({
          _tag: 'rent',
          shares: Array.from({ length: count }, () => share),
          type: offer.type.name,
          zone: offer.zone,
          spot: offer.spot,
          count,
        });
        // What is not to be had shows in the answer; the next round tries elsewhere.
        missing = 0;
      }
    }
  }
  return merge(steps);
};

const fitsSpare = (
  need: Need,
  spare: { type: string; zone: string; spot: boolean },
  input: PlanInput,
): number => {
  const type = input.catalog.get(spare.type);
  if (!type || (spare.spot && !need.spot)) return 0;
  if (need.types !== null && !need.types.includes(spare.type)) return 0;
  if (need.zone !== null && need.zone !== spare.zone) return 0;
  return howMany(demand(need), type, need.tasks);
};

/** Rentals of one kind in one zone go in one request, for whichever shares they are. */
const merge = (steps: readonly Step[]): readonly Step[] => {
  const rents = new Map<string, Step & { _tag: 'rent' }>();
  const out: Step[] = [];
  for (const step of steps) {
    if (step._tag === 'move') {
      out.push(step);
      continue;
    }
    const key = `${step.type}|${step.zone}|${step.spot}`;
    const known = rents.get(key);
    const shares = [...(known?.shares ?? []), ...step.shares].slice(0, HIRE_MAX);
    rents.set(key, { ...step, shares, count: shares.length });
  }
  return [...out, ...rents.values()];
};

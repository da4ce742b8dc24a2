/**
 * Free machines that a shard could give to another, as the leader and other controllers are told. No state;
 * `ShardSummaryBuilder` and the heartbeat between controllers call it.
 */
import { MAX_SPARES_PER_KIND } from '../constants/peers.js';
import type { ShardSummary, SpareMachine, UnlistedSpares } from '../fleet/shard-summary.js';
import type { ShardMachine } from './shard-model.js';

/** Free machines that may go to another shard. */
export interface Spares {
  /** A few of each kind, those that have been idle longest. */
  readonly listed: readonly SpareMachine[];
  /** How many more there are; they are named as the first ones leave. */
  readonly unlisted: readonly UnlistedSpares[];
}

/** Free machines that may go to another shard: a few of each kind by name, of the others their number. */
export const spareMachines = (machines: Iterable<ShardMachine>, now: number): Spares => {
  const kinds = new Map<string, SpareMachine[]>();
  for (const machine of machines) {
    const key = `${machine.type}|${machine.zone}|${machine.spot}`;
    const list = kinds.get(key) ?? [];
    kinds.set(key, list);
    list.push({
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      idleS: machine.idleSince === null ? 0 : (now - machine.idleSince) / 1000,
    });
  }
  const lists = [...kinds.values()];
  return {
    listed: lists.flatMap((list) => list.sort((a, b) => b.idleS - a.idleS).slice(0, MAX_SPARES_PER_KIND)),
    unlisted: lists.flatMap((list) => {
      const [first] = list;
      if (!first || list.length <= MAX_SPARES_PER_KIND) return [];
      const { type, zone, spot } = first;
      return [{ type, zone, spot, count: list.length - MAX_SPARES_PER_KIND }];
    }),
  };
};

/** What peers that don't lead hear: whether there is a spare of some kind, nothing of unmet demand. */
export const abridgedSummary = (summary: ShardSummary): ShardSummary => {
  const kinds = new Set<string>();
  const spares = summary.spares.filter((spare) => {
    const key = `${spare.type}|${spare.zone}|${spare.spot}`;
    if (kinds.has(key)) return false;
    kinds.add(key);
    return true;
  });
  return { ...summary, needs: [], spares, unlisted: [] };
};

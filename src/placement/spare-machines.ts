/**
 * Describes the free machines that a shard can transfer to other shards, for the leader and other
 * controllers. No state; `ShardSummaryBuilder` and the heartbeat between controllers call it.
 */
import { MAX_SPARES_PER_KIND } from '../constants/peers.js';
import type { ShardSummary, SpareMachine, UnlistedSpares } from '../fleet/shard-summary.js';
import type { ShardMachine } from './shard-model.js';

/** Free machines that may be transferred to another shard. */
export interface Spares {
  /** At most `MAX_SPARES_PER_KIND` of each kind, those that have been idle the longest. */
  readonly listed: readonly SpareMachine[];
  /**
   * The number of further machines of each kind. They are listed once listed machines have been transferred.
   */
  readonly unlisted: readonly UnlistedSpares[];
}

/** Lists a few of the given machines of each kind and counts the others; `now`: ms on the steady clock. */
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

/** The summary for controllers that do not lead: one spare machine of each kind and no unmet demand. */
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

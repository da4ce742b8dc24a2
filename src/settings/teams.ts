import { CPUS_PER_GPU_WEIGHT } from '../constants/placement.js';
import type { Settings, Team } from './schema.js';

/**
 * Teams are divided among the shares, one share per controller slot: heaviest guarantee first, each to the
 * share with the least so far, ties by name and number. Every node computes the same division.
 */
export const divideTeams = (teams: readonly Team[], shardCount: number): ReadonlyMap<string, number> => {
  const loads = Array.from({ length: shardCount }, () => 0);
  const shards = new Map<string, number>();
  const weight = (team: Team): number => team.gpus * CPUS_PER_GPU_WEIGHT + team.cpus;
  const order = [...teams].sort((a, b) => weight(b) - weight(a) || (a.name < b.name ? -1 : 1));
  for (const team of order) {
    let best = 0;
    loads.forEach((load, shardId) => {
      if (load < (loads[best] ?? 0)) best = shardId;
    });
    shards.set(team.name, best);
    loads[best] = (loads[best] ?? 0) + Math.max(weight(team), 1);
  }
  return shards;
};

/** Names of all nodes in order; slot k is meant for the k-th. */
export const nodeNames = (settings: Settings): readonly string[] =>
  [settings.host_name, ...settings.siblings.map((sibling) => sibling.host_name)].sort();

/**
 * Divides the teams among the shards. Owns no state; every controller computes the same division from its
 * settings at start.
 */
import { CPUS_PER_GPU_WEIGHT } from '../constants/placement.js';
import type { Team } from './schema.js';

/**
 * Returns the shard id of each team, by team name. There are as many shards as controllers. Teams are
 * assigned in descending order of their guarantees' weight, each to the shard with the least load so far.
 * Teams of equal weight are assigned in the order of their names; of shards with equal load, the one with the
 * lowest id gets the team.
 */
export const divideTeams = (teams: readonly Team[], shardCount: number): ReadonlyMap<string, number> => {
  const loads = Array.from({ length: shardCount }, () => 0);
  const shards = new Map<string, number>();
  const weight = (team: Team): number => team.gpus * CPUS_PER_GPU_WEIGHT + team.cpus;
  const order = [...teams].sort((a, b) => weight(b) - weight(a) || (a.name < b.name ? -1 : 1));
  for (const team of order) {
    let lightest = 0;
    loads.forEach((load, shardId) => {
      if (load < (loads[lightest] ?? 0)) lightest = shardId;
    });
    shards.set(team.name, lightest);
    loads[lightest] = (loads[lightest] ?? 0) + Math.max(weight(team), 1);
  }
  return shards;
};

/**
 * What the settings say of the deployment, in the form in which the subsystems need it. Worked out once, when
 * the controller is composed; every controller that has the same settings works out the same.
 */
import type { ClaimHolder } from '../claims/claim-decisions.js';
import type { TeamLimit, TeamUsage } from '../placement/team-limits.js';
import { readObjectives } from '../placement/objectives-codec.js';
import type { Objectives } from '../placement/urgency.js';
import { effectiveLimits, type StoreLimits } from '../settings/limits-codec.js';
import type { Settings } from '../settings/schema.js';
import { divideTeams } from '../settings/teams.js';
import { readControllerNames } from './address-codec.js';

const BYTES_PER_KB = 1024;
/** The shard of a team that the settings don't name. */
const DEFAULT_SHARD = 0;

/** What the settings say of the deployment. */
export interface Deployment {
  /** This process, as its claims name it. */
  readonly self: ClaimHolder;
  /** All controllers by name, in order. */
  readonly nodes: readonly string[];
  readonly shardCount: number;
  /** The shard of each team of the settings. */
  readonly shardByTeam: ReadonlyMap<string, number>;
  /** The shard of any team. */
  readonly shardOf: (team: string) => number;
  /** What each team may use at most. */
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** What each team is guaranteed. */
  readonly guarantees: ReadonlyMap<string, TeamUsage>;
  /** Targets of each class of jobs. */
  readonly objectives: ReadonlyMap<string, Objectives>;
  /** The key-value store's limits, now and after the announced change. */
  readonly storeLimits: StoreLimits;
  /** bytes: the largest value that the key-value store takes, now and later. */
  readonly valueBytes: number;
}

/** Reads the deployment from the settings. */
export const readDeployment = (settings: Settings, incarnation: string): Deployment => {
  const { facts } = settings;
  const shardByTeam = divideTeams(facts.teams, facts.count);
  const storeLimits = effectiveLimits(facts.state);
  return {
    self: { node: settings.host_name, incarnation },
    nodes: readControllerNames(settings),
    shardCount: facts.count,
    shardByTeam,
    shardOf: (team) => shardByTeam.get(team) ?? DEFAULT_SHARD,
    limits: new Map(
      facts.teams.map((team) => [team.name, { cpusMax: team.cpus_max, gpusMax: team.gpus_max }]),
    ),
    guarantees: new Map(facts.teams.map((team) => [team.name, { cpus: team.cpus, gpus: team.gpus }])),
    objectives: readObjectives(facts.objectives),
    storeLimits,
    valueBytes: storeLimits.valueKb * BYTES_PER_KB,
  };
};

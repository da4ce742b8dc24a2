/**
 * The properties of the deployment, read from the settings into the form in which the subsystems use them.
 * Computed once, when the controller is composed; controllers with the same settings compute the same values.
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
/** The shard of a team that the settings do not name. */
const DEFAULT_SHARD = 0;

/** The properties of the deployment. */
export interface Deployment {
  /** This process, as the holder of claims. */
  readonly self: ClaimHolder;
  /** The names of all controllers, this one included, in alphabetical order. */
  readonly nodes: readonly string[];
  readonly shardCount: number;
  /** The shard of each team that the settings name. */
  readonly shardByTeam: ReadonlyMap<string, number>;
  /** Returns the shard of any team, whether the settings name the team or not. */
  readonly shardOf: (team: string) => number;
  /** The maximum number of CPUs and GPUs that each team may use. */
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** The number of CPUs and GPUs that each team is guaranteed. */
  readonly guarantees: ReadonlyMap<string, TeamUsage>;
  /** The targets of each class of jobs. */
  readonly objectives: ReadonlyMap<string, Objectives>;
  /** The limits of the key-value store: for each, the smaller of the current and the announced value. */
  readonly storeLimits: StoreLimits;
  /**
   * The size of the largest value that the key-value store accepts, now and after the announced change
   * (bytes).
   */
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

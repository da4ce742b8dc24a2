/**
 * Tests how heartbeats are interpreted, in which order they are accepted, and what follows from the silence
 * of a worker.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineType } from '../jobs/model.js';
import { jobSpec } from '../testing/bodies.js';
import type { Command, WorkerHeartbeat, ReportedTask } from '../workers/model.js';
import { ShardState } from './shard-state.js';
import { MachineLiveness } from './machine-liveness.js';
import { MachineReleases } from './machine-releases.js';
import { WorkerSessions } from './worker-sessions.js';
import { WorkerTokens } from './worker-tokens.js';
import type { ShardMachine } from './shard-model.js';

const LEASE_S = 20;
const WORKERS = { lease_s: LEASE_S, report_s: 5, cancel_s: 2 * LEASE_S };
const spec = jobSpec('job-1', {
  jobClass: 'k',
  team: 't',
  kind: 'gang',
  priority: 1,
  cpus: 1,
  gpus: 1,
  memoryGb: 1,
  oneZone: true,
  image: 'i',
  estimateS: 10,
});
const type: MachineType = {
  name: 'g',
  cpus: 8,
  gpus: 8,
  memoryGb: 8,
  cacheGb: 10,
  price: 1,
  spotPrice: 1,
  bootS: 40,
  zones: ['x'],
};

class Scenario {
  now = 1_000_000;
  readonly shardState = new ShardState({
    now: () => this.now,
    wall: () => this.now,
    requestRound: () => undefined,
  });
  readonly liveness = new MachineLiveness({
    machines: this.shardState.machines,
    catalog: () => new Map([['g', type]]),
    workers: WORKERS,
    now: () => this.now,
    wall: () => this.now,
  });
  readonly machineReleases = new MachineReleases({
    machines: this.shardState.machines,
    liveness: this.liveness,
    workers: WORKERS,
    isBootBound: () => false,
    now: () => this.now,
    wall: () => this.now,
  });
  readonly sessions = new WorkerSessions({
    shardState: this.shardState,
    tokens: new WorkerTokens({ claim: 50, appliedRevision: () => 50 }),
    now: () => this.now,
    leaseMs: this.liveness.leaseMs,
    isLoaded: () => true,
    isCancelled: () => false,
    isPlacing: () => true,
    requestRound: () => undefined,
  });
  readonly job = this.shardState.applyJobRecord(
    { spec, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
    1,
  );
  readonly machines: readonly ShardMachine[];

  constructor() {
    this.liveness.loadedAt = this.now;
    this.machines = ['m-0', 'm-1'].map((id) => this.addMachine(id, this.now));
  }
  addMachine(id: string, since: number, spot = false): ShardMachine {
    return this.shardState.addMachine(
      id,
      { shardId: 0, type: 'g', zone: 'x', spot, at: since, releasing: false, addr: '', agentEpoch: 0 },
      40,
      type,
    );
  }
  bind(): void {
    this.machines.forEach((machine, index) => {
      const binding = this.shardState.bind(this.job, index, 1, machine, { _tag: 'binding' });
      this.shardState.apply(binding, { _tag: 'durable' });
    });
  }
  report(id: string, sequenceNumber: number, overrides: Partial<WorkerHeartbeat> = {}): boolean {
    const heartbeat: WorkerHeartbeat = {
      machine: id,
      addr: 'a:1',
      type: 'g',
      zone: 'x',
      spot: false,
      agentEpoch: 1,
      sequenceNumber,
      token: 50,
      noticeS: null,
      tasks: [],
      ...overrides,
    };
    if (this.sessions.onHeartbeat(heartbeat) === null) return false;
    this.lastCommands = this.sessions.commandsFor(heartbeat)?.commands ?? [];
    return true;
  }
  lastCommands: readonly Command[] = [];
  phaseOf(index: number): string {
    return this.job.bindings.get(index)?.phase._tag ?? 'none';
  }
  releases(): readonly string[] {
    this.liveness.updateAndFindExpired();
    return this.machineReleases
      .machinesToRelease(true)
      .map(({ machine, reason }) => `${machine.id} ${reason}`);
  }
}
const running: readonly ReportedTask[] = [{ job: 'job-1', index: 0, attempt: 1, state: { _tag: 'running' } }];

const scenarios: readonly { name: string; run: (scenario: Scenario) => void }[] = [
  {
    name: 'a late copy of a heartbeat changes nothing, whatever its age',
    run: (scenario) => {
      scenario.bind();
      assert.ok(scenario.report('m-0', 7, { tasks: running }));
      for (const sequenceNumber of [7, 6, 1]) assert.equal(scenario.report('m-0', sequenceNumber), false);
      assert.equal(scenario.phaseOf(0), 'running', 'absence in an old list is no evidence');
      assert.ok(scenario.report('m-0', 1, { agentEpoch: 2 }));
      assert.equal(
        scenario.report('m-0', 9, { tasks: running }),
        false,
        'a heartbeat of an earlier session is refused',
      );
      assert.equal(scenario.phaseOf(0), 'none');
    },
  },
  {
    name: 'a late copy that reaches a new holder first proves nothing and confirms nothing',
    run: (scenario) => {
      scenario.bind();
      assert.ok(scenario.report('m-0', 3, { token: 44 }));
      assert.equal(scenario.phaseOf(0), 'bound');
      assert.equal(scenario.machines[0]?.confirmedToken, 0, 'no work is placed there yet');
      assert.ok(scenario.report('m-0', 9, { token: 44, agentEpoch: 2, tasks: [] }));
      assert.equal(
        scenario.phaseOf(0),
        'bound',
        'a session that the former holder may still command proves nothing',
      );
      assert.ok(scenario.report('m-0', 10, { agentEpoch: 2, tasks: running }));
      assert.equal(scenario.phaseOf(0), 'running');
    },
  },
  {
    name: 'a machine that ignores run commands is unreachable: its gang is placed elsewhere',
    run: (scenario) => {
      scenario.report('m-0', 1);
      scenario.bind();
      for (let sequenceNumber = 2; sequenceNumber <= 4; sequenceNumber += 1) {
        scenario.report('m-0', sequenceNumber);
        assert.deepEqual(
          scenario.lastCommands.map((command) => command._tag),
          ['run'],
        );
      }
      scenario.report('m-0', 5);
      assert.deepEqual(scenario.lastCommands, [], 'run is not sent again');
      assert.equal(
        scenario.machines[0]?.needsHigherToken,
        true,
        'no new work until its worker confirms a higher token',
      );
      assert.ok(
        [...scenario.job.bindings.values()].every((binding) => binding.stop !== null),
        'the whole gang is stopped',
      );
      scenario.report('m-0', 6);
      assert.equal(scenario.phaseOf(0), 'none', 'absent after its last run: free to start elsewhere');
    },
  },
  {
    name: 'a machine whose lease expired although it was answered is unreachable too',
    run: (scenario) => {
      scenario.bind();
      scenario.report('m-0', 1, { tasks: running });
      scenario.now += 5_000;
      scenario.report('m-0', 2, { agentEpoch: 2 });
      assert.equal(scenario.phaseOf(0), 'none', 'its new session is the proof');
      assert.equal(scenario.machines[0]?.needsHigherToken, true);
    },
  },
  {
    name: 'a machine that never confirms the token is released, unless most machines do not confirm it',
    run: (scenario) => {
      for (const machine of scenario.machines) scenario.report(machine.id, 1, { token: 44 });
      scenario.now += LEASE_S * 2_500;
      for (const machine of scenario.machines) scenario.report(machine.id, 2, { token: 44 });
      assert.deepEqual(scenario.releases(), [], 'that indicates a fault of this controller');
      scenario.report('m-1', 3);
      assert.deepEqual(scenario.releases(), ['m-0 does not hear']);
    },
  },
  {
    name: 'a machine known only from a heartbeat that may be a late copy is released after a lease of silence',
    run: (scenario) => {
      scenario.addMachine('m-2', 0);
      const known = scenario.shardState.machines.get('m-2');
      assert.ok(known);
      assert.equal(scenario.liveness.isExpectedSoon(known, scenario.now, scenario.now), false);
      scenario.now += (LEASE_S + 2) * 1_000;
      assert.deepEqual(
        scenario.releases(),
        ['m-2 never came up'],
        'a booting machine would be given its time',
      );
    },
  },
  {
    name: 'a silent spot machine is released before its lease expires, an on-demand one afterwards',
    run: (scenario) => {
      scenario.addMachine('m-2', scenario.now, true);
      for (const id of ['m-0', 'm-1', 'm-2']) scenario.report(id, 1, { tasks: running });
      scenario.now += 60_000;
      for (const id of ['m-0', 'm-1', 'm-2']) scenario.report(id, 2, { tasks: running });
      scenario.now += 17_000;
      scenario.report('m-0', 3, { tasks: running });
      assert.deepEqual(scenario.releases(), [], 'not while few of the machines reach this controller');
      scenario.report('m-1', 3, { tasks: running });
      assert.deepEqual(scenario.releases(), ['m-2 spot silent']);
      scenario.now += 22_000;
      scenario.report('m-0', 4, { tasks: running });
      assert.deepEqual(scenario.releases(), ['m-1 silent', 'm-2 silent']);
    },
  },
];
for (const scenario of scenarios)
  test(`worker sessions: ${scenario.name}`, () => scenario.run(new Scenario()));

/**
 * Measures the cost of decisions for growing numbers of machines and jobs, on the machine that runs it:
 * `node target/testing/scale.js`. Prints the milliseconds of one placement round, one summary for the leader,
 * one scaling plan of the leader and one takeover of a shard.
 */
import { planScaling } from '../fleet/scaling-plan.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { Catalog, JobSpec } from '../jobs/model.js';
import {
  placementRequests,
  availableCapacity,
  teamUsage,
  type PlacementView,
} from '../placement/placement-view.js';
import { ShardState } from '../placement/shard-state.js';
import { MachineLiveness } from '../placement/machine-liveness.js';
import { spareMachines } from '../placement/spare-machines.js';
import { unmetDemand } from '../placement/unmet-demand.js';
import { packRequests } from '../placement/bin-packing.js';
import { readRunRecord, writeRunRecord } from '../placement/run-codec.js';
import { runRecord } from '../placement/run-records.js';

const SHARD_COUNT = 5;
const ZONES = ['x', 'y', 'z'];
const catalog: Catalog = new Map([
  [
    'g',
    {
      name: 'g',
      cpus: 64,
      gpus: 8,
      memoryGb: 384,
      cacheGb: 80,
      price: 20,
      spotPrice: 5,
      bootS: 40,
      zones: ZONES,
    },
  ],
]);
const limits = new Map([['t', { cpusMax: 0, gpusMax: 1_000_000 }]]);

/** An array or a gang; a gang needs whole machines. */
const specOf = (n: number, gang: boolean): JobSpec => ({
  id: `job-${n}`,
  jobClass: gang ? 'gang' : 'array',
  team: 't',
  kind: gang ? 'gang' : 'array',
  priority: 1,
  tasks: gang ? 1 << (n % 5) : 50,
  cpus: gang ? 57 : 5 + (n % 20) / 10,
  gpus: gang ? 8 : 1,
  memoryGb: gang ? 310 : 36,
  types: null,
  zone: null,
  oneZone: gang,
  spread: false,
  spot: !gang,
  image: `img-${n % 10}`,
  imageGb: 5,
  estimateS: 40,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
});

/**
 * A shard in which one of twenty machines is free and the others are full, with a waiting job per eight
 * machines.
 */
const createShard = (machines: number) => {
  const now = 1_000_000;
  const shardState = new ShardState({ now: () => now, wall: () => now, requestRound: () => undefined });
  const liveness = new MachineLiveness({
    machines: shardState.machines,
    catalog: () => catalog,
    workers: { lease_s: 24, report_s: 5, cancel_s: 45 },
    now: () => now,
    wall: () => now,
  });
  liveness.loadedAt = 0;
  let jobs = 0;
  const addJob = (gang: boolean) => {
    jobs += 1;
    return shardState.applyJobRecord(
      {
        spec: specOf(jobs, gang),
        at: now - 20_000,
        cancelled: false,
        cancelledAt: null,
        dependsOn: [],
        parts: 0,
      },
      1,
    );
  };
  let job = addJob(false);
  let nextTask = 0;
  for (let m = 0; m < machines; m += 1) {
    const record = {
      shardId: 0,
      type: 'g',
      zone: ZONES[m % 3] ?? 'x',
      spot: m % 2 === 0,
      at: 0,
      releasing: false,
      addr: 'a:1',
      agentEpoch: 1,
    };
    const machine = shardState.addMachine(
      `i-${m}`,
      record,
      1,
      catalog.get('g') ?? { cpus: 0, gpus: 0, memoryGb: 0 },
    );
    machine.confirmedToken = 1;
    machine.answeredAt = now;
    if (m % 20 === 0) continue;
    for (let k = 0; k < 8; k += 1) {
      if (nextTask >= job.spec.tasks) {
        job = addJob(false);
        nextTask = 0;
      }
      shardState.apply(shardState.bind(job, nextTask, 1, machine, { _tag: 'bound' }), {
        _tag: 'reported',
        state: { _tag: 'running' },
      });
      nextTask += 1;
    }
  }
  for (let k = 0; k < machines / 8; k += 1) addJob(k % 2 === 0);
  const view: PlacementView = {
    shardState,
    liveness,
    catalog,
    scarceDemand: () => ({ cpus: 57, gpus: 8, memoryGb: 310 }),
    guarantees: new Map(),
    objectives: new Map(),
    reservations: [],
    now,
    wall: now,
  };
  return { shardState, view };
};

/** One placement round, without its writes. */
const runRound = (view: PlacementView) => {
  const requests = placementRequests(view);
  const capacities = availableCapacity(view);
  const usages = teamUsage(view.shardState);
  const packed = packRequests(
    requests,
    capacities.filter((capacity) => capacity.live),
    limits,
    usages,
  );
  return { packed, capacities, usages };
};

const median = (times: readonly number[]): number => [...times].sort((a, b) => a - b)[times.length >> 1] ?? 0;
/** Median duration of `work` in ms, over 25 runs. */
const medianMs = (work: () => unknown): number =>
  median(
    Array.from({ length: 25 }, () => {
      const from = performance.now();
      work();
      return performance.now() - from;
    }),
  );

const rows = [100, 1_000, 2_000, 4_000, 6_000].map((machineCount) => {
  const { shardState, view } = createShard(machineCount / SHARD_COUNT);
  const needs = () => {
    const { packed, capacities, usages } = runRound(view);
    const { objectives, wall } = view;
    return unmetDemand({
      unplaced: packed.unplaced,
      capacities,
      limits,
      usages,
      catalog,
      objectives,
      wall,
    });
  };
  const spares = spareMachines(
    [...shardState.machines.values()].filter((machine) => machine.bound.size === 0),
    view.now,
  );
  const summaries = Array.from({ length: SHARD_COUNT }, (_, shardId): ShardSummary => ({
    shardId,
    claim: 1,
    revision: 1,
    needs: needs(),
    spares: spares.listed,
    unlisted: spares.unlisted,
  }));
  const records = [...shardState.jobs.values()].map((job) => writeRunRecord(runRecord(job, 0), 0));
  const roundMs = medianMs(() => runRound(view));
  return {
    machines: machineCount,
    'jobs of a shard': shardState.jobs.size,
    'round ms': roundMs.toFixed(2),
    'summary ms': (medianMs(needs) - roundMs).toFixed(2),
    'plan ms': medianMs(() =>
      planScaling({
        summaries,
        catalog,
        isRefused: () => true,
        machineCount: () => machineCount / 6,
        reservations: [],
        outdatedShards: new Set(),
        pendingTransfers: [],
      }),
    ).toFixed(2),
    'takeover ms': medianMs(() => records.map((record) => readRunRecord(record, 0))).toFixed(2),
  };
});
console.table(rows);

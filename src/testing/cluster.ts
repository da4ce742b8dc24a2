/**
 * Three composed controllers among the stand-ins of one process, on a virtual clock: started, stopped and
 * upgraded like processes. Also the settings and jobs of the stand-in deployment.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type { CallOutcome, ServerRequest, ServerResponse } from '../http/model.js';
import { compose } from '../controller/compose.js';
import type { Controller, Ports } from '../controller/ports.js';
import { ALL_FEATURES } from '../settings/features.js';
import type { Settings } from '../settings/schema.js';
import { readWorkerHeartbeat, writeDirectCommands } from '../workers/codec.js';
import type { StandInJob } from './worker-stand-in.js';
import type { SimulatedEnvironment } from './simulated-environment.js';

/** Names of the three controllers. */
export const NODES = ['n0', 'n1', 'n2'] as const;
/** Virtual time in ms between two steps of the simulated environment. */
export const STEP_MS = 20;
/** `cancel_s` of the stand-in deployment, in ms. */
export const CANCEL_MS = 40_000;
/** The workers' lease in the stand-in deployment, in ms. */
export const LEASE_MS = 15_000;
/** The workers' heartbeat interval in the stand-in deployment, in ms. */
export const HEARTBEAT_INTERVAL_MS = 3_000;

/** The settings of one controller of the stand-in deployment. */
export const settingsOf = (name: string, limits: ReadonlyMap<string, number>): Settings => ({
  host_name: name,
  area: 'x',
  api_addr: `${name}:1`,
  mesh_addr: `${name}:2`,
  siblings: NODES.filter((node) => node !== name).map((node) => ({
    host_name: node,
    area: 'x',
    endpoint: `mesh-${node}:2`,
  })),
  services: { cloud: 'cloud:1', state: 'state:1' },
  facts: {
    count: 3,
    zones: ['x', 'y'],
    teams: [...limits].map(([team, gpus]) => ({ name: team, cpus: 0, cpus_max: 0, gpus: 8, gpus_max: gpus })),
    objectives: [],
    workers: {
      report_s: HEARTBEAT_INTERVAL_MS / 1000,
      lease_s: LEASE_MS / 1000,
      gang_wait_s: 30,
      gang_peer_s: 4,
      cancel_s: CANCEL_MS / 1000,
    },
    state: {
      rps: 300,
      write_rps: 150,
      value_kb: 16,
      txn_ops: 32,
      next: { write_rps: 120, value_kb: 2, txn_ops: 10 },
    },
    cloud: { rps: 4, list_lag_s: 5 },
    quota: { core_share: 1, ram_mb: 300, fd_limit: 1000 },
    clock_error_ms: 10,
  },
});

const toServerRequest = (method: string, path: string, body: unknown): ServerRequest => ({
  method,
  path,
  query: '',
  body: body === undefined ? { _tag: 'empty' } : { _tag: 'value', value: body },
});
const toCallOutcome = (reply: ServerResponse): CallOutcome => ({
  _tag: 'response',
  status: reply.status,
  body: reply.body ?? {},
});

/** Three composed controllers among the stand-ins, as processes that can be stopped, started and upgraded. */
export class Cluster {
  private readonly running = new Map<
    string,
    { controller: Controller; fiber: Fiber.Fiber<unknown>; nodeProcess: { isAlive: boolean } }
  >();
  private incarnation = 0;
  /** The version that a node's next process runs; the present version for nodes without an entry. */
  readonly versions = new Map<string, typeof compose>();
  /** Offset of a node's time of day from the true time, in ms. */
  readonly timeOfDayOffsets = new Map<string, number>();
  constructor(private readonly environment: SimulatedEnvironment) {}

  /** Starts the node's controller as a new process, after stopping one that still runs. */
  start(name: string): void {
    this.stop(name);
    this.incarnation += 1;
    const nodeProcess = { isAlive: true };
    const never = new Promise<never>(() => undefined);
    const ports: Ports = {
      now: () => Date.now(),
      wall: () => Date.now() + (this.timeOfDayOffsets.get(name) ?? 0),
      processorMs: () => 0,
      incarnation: `${name}.${this.incarnation}`,
      createHttpClient: (target) => ({
        request: (method, path, body, timeoutMs) =>
          nodeProcess.isAlive
            ? this.environment
                .call(name, target.host, method, path, body, timeoutMs)
                .then((answer) => (nodeProcess.isAlive ? answer : never))
            : never,
      }),
      workerClient: {
        send: async (addr, token, agentEpoch, commands) => {
          const answer = await this.environment.call(
            name,
            addr.slice(0, addr.lastIndexOf(':')),
            'POST',
            '/commands',
            writeDirectCommands(token, agentEpoch, commands),
            1_500,
          );
          if (answer._tag === 'noResponse') return { _tag: 'unknown' };
          const heartbeat = readWorkerHeartbeat(answer.body);
          return answer.status === 200 && heartbeat
            ? { _tag: 'executed', heartbeat }
            : { _tag: 'refused', heartbeat };
        },
      },
    };
    const settings = settingsOf(name, this.environment.limits);
    const controller = (this.versions.get(name) ?? compose)(settings, ports, ALL_FEATURES);
    const fiber = Effect.runFork(controller.run);
    this.running.set(name, { controller, fiber, nodeProcess });
    this.environment.attach(name, async (method, path, body) =>
      toCallOutcome(await controller.route(toServerRequest(method, path, body))),
    );
    this.environment.attach(`mesh-${name}`, async (method, path, body) =>
      toCallOutcome(await controller.peerRoute(toServerRequest(method, path, body))),
    );
  }

  /** Stops the node's controller like a killed process: its requests in flight get no answer. */
  stop(name: string): void {
    const entry = this.running.get(name);
    if (!entry) return;
    entry.nodeProcess.isAlive = false;
    entry.controller.stop();
    Effect.runFork(Fiber.interrupt(entry.fiber));
    this.running.delete(name);
    this.environment.detach(name);
    this.environment.detach(`mesh-${name}`);
  }
}

/** Runs the promise reactions and callbacks that are due. */
export const runDueCallbacks = async (): Promise<void> => {
  for (let k = 0; k < 6; k += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** Creates a job of the stand-in deployment; `overrides` replace fields of the submission. */
export const createStandInJob = (
  n: number,
  overrides: Partial<Record<string, unknown>>,
  runMs: number,
): StandInJob => {
  const body: Record<string, unknown> = {
    uid: `job-${String(n).padStart(6, '0')}`,
    herd: 'c',
    owner: 'red',
    shape: 'sweep',
    urgency: 'standard',
    heads: 4,
    vcpus: 8,
    accelerators: 1,
    memoryGb: 8,
    brand: `img-${n % 3}`,
    sizeGb: 1,
    breeds: null,
    paddock: null,
    together: false,
    scatter: false,
    agistment: false,
    expectedS: runMs / 1000,
    musterEveryS: 0,
    musterS: 0,
    dueS: null,
    ...overrides,
  };
  return {
    body,
    id: body['uid'] as string,
    team: body['owner'] as string,
    gang: body['shape'] === 'group',
    oneZone: body['together'] as boolean,
    tasks: body['heads'] as number,
    gpus: body['accelerators'] as number,
    cpus: body['vcpus'] as number,
    memoryGb: body['memoryGb'] as number,
    runMs,
    accepted: false,
    cancelledAt: null,
    isFinalStatusReported: false,
  };
};

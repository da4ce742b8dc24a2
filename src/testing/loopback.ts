/**
 * Three controllers as real processes on loopback, against stand-ins for the state service and the cloud that
 * log what takes effect and can hold requests or their answers. Processes can be stopped, resumed, killed and
 * started again.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import type { Server } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MAX_BODY_BYTES } from '../constants/http.js';
import { PooledHttpClient } from '../http/client.js';
import { parseTarget, type CallOutcome, type ServerRequest, type ServerResponse } from '../http/model.js';
import { serve } from '../http/server.js';
import { CloudStandIn } from './cloud-stand-in.js';
import { KeyValueStoreStandIn } from './key-value-store-stand-in.js';
import { freePort, LOOPBACK_HOST as HOST } from './loopback-ports.js';
import { textOfOutcome, textOfRequest } from './request-text.js';
import { Timeline } from './timeline.js';

/** ms: between looks at a condition that is waited for. */
const POLL_INTERVAL_MS = 20;
/** ms: longest wait for a condition, also on a busy machine. */
const MAX_WAIT_MS = 40_000;

/** Which service a request goes to. */
export type Service = 'state' | 'cloud';

/** A request of a controller to a stand-in. */
export interface ReceivedRequest {
  readonly node: string;
  readonly service: Service;
  readonly call: ServerRequest;
}

/** Where a request stops: before the stand-in carries it out, or with its answer. */
export type HoldStage = 'request' | 'answer';

interface Hold {
  readonly matches: (request: ReceivedRequest) => boolean;
  readonly at: HoldStage;
  readonly released: Promise<void>;
  held: number;
}

/** A rule under which requests wait, until it is lifted. */
export interface HeldRequests {
  /** How many wait. */
  readonly count: () => number;
  readonly release: () => void;
}

/** How the deployment differs from the ordinary one. */
export interface LoopbackOptions {
  readonly features: string;
  readonly cloudRps: number;
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

interface NodePorts {
  readonly api: number;
  readonly peer: number;
  readonly state: number;
  readonly cloud: number;
}

/** The deployment; {@link stop} ends its own processes and listeners. */
export class Loopback {
  static readonly nodes = ['n0', 'n1', 'n2'] as const;
  readonly state = new KeyValueStoreStandIn();
  readonly cloud = new CloudStandIn();
  readonly timeline = new Timeline();
  private readonly holds: Hold[] = [];
  private readonly refusals = new Set<(request: ReceivedRequest) => boolean>();
  private readonly servers: Server[] = [];
  private readonly processes = new Map<string, ChildProcess>();
  private readonly ports = new Map<string, NodePorts>();
  private readonly directory = mkdtempSync(join(tmpdir(), 'dalegate-loopback-'));

  private constructor(private readonly options: LoopbackOptions) {
    this.timeline.watchEventLoop('stand-in');
    this.state.onLeaseEnd = (lease, keys) =>
      this.timeline.record('store', `lease ${lease} ended: ${keys.join()}`);
  }

  static async start(options: LoopbackOptions): Promise<Loopback> {
    const deployment = new Loopback(options);
    try {
      await deployment.launch();
    } catch (error) {
      // What is open already would keep the test's process from ending.
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  private async launch(): Promise<void> {
    for (const node of Loopback.nodes) {
      this.ports.set(node, {
        api: await freePort(),
        peer: await freePort(),
        state: await freePort(),
        cloud: await freePort(),
      });
    }
    await this.listen();
    writeFileSync(join(this.directory, 'features.toml'), this.options.features);
    for (const node of Loopback.nodes) this.spawn(node);
  }

  private portsOf(node: string): NodePorts {
    const ports = this.ports.get(node);
    if (!ports) throw new Error(`no node ${node}`);
    return ports;
  }

  /** Each node has listeners of its own, so that the stand-ins know who asks. */
  private async listen(): Promise<void> {
    for (const node of Loopback.nodes) {
      for (const service of ['state', 'cloud'] as const) {
        const target = { host: HOST, port: this.portsOf(node)[service] };
        const handle = (call: ServerRequest): Promise<ServerResponse> => this.answer({ node, service, call });
        const ignore = (): void => undefined;
        this.servers.push(await serve(target, { connections: 64 }, 16 * MAX_BODY_BYTES, handle, ignore));
      }
    }
  }

  private async answer(request: ReceivedRequest): Promise<ServerResponse> {
    const requestText = textOfRequest(request);
    for (const refuses of this.refusals) {
      if (!refuses(request)) continue;
      this.timeline.record(request.node, `-> refused ${requestText}`);
      return { status: 503 };
    }
    this.timeline.record(request.node, `-> ${requestText}`);
    await this.waitForHolds(request, 'request');
    const answer = await this.execute(request);
    this.timeline.record(request.node, `carried out ${requestText}: ${textOfOutcome(answer)}`);
    await this.waitForHolds(request, 'answer');
    return answer._tag === 'response' ? { status: answer.status, body: answer.body } : { status: 503 };
  }

  private execute({ node, service, call }: ReceivedRequest): Promise<CallOutcome> {
    const path = call.query === '' ? call.path : `${call.path}?${call.query}`;
    const body = call.body._tag === 'value' ? call.body.value : {};
    return service === 'state'
      ? this.state.handle(node, call.method, path, body)
      : Promise.resolve(this.cloud.handle(node, call.method, path, body));
  }

  private async waitForHolds(request: ReceivedRequest, at: HoldStage): Promise<void> {
    for (const hold of this.holds) {
      if (hold.at !== at || !hold.matches(request)) continue;
      hold.held += 1;
      await hold.released;
    }
  }

  /** Lets matching requests, or their answers, wait. */
  hold(at: HoldStage, matches: (request: ReceivedRequest) => boolean): HeldRequests {
    let release = (): void => undefined;
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    const hold: Hold = { matches, at, released, held: 0 };
    this.holds.push(hold);
    return {
      count: () => hold.held,
      release: () => {
        this.holds.splice(this.holds.indexOf(hold), 1);
        release();
      },
    };
  }

  /** Answers matching requests 503, until the returned function is called. */
  refuse(matches: (request: ReceivedRequest) => boolean): () => void {
    this.refusals.add(matches);
    return () => this.refusals.delete(matches);
  }

  spawn(node: string): void {
    const file = join(this.directory, `${node}.json`);
    writeFileSync(file, JSON.stringify(this.settings(node)));
    const flags = ['--single-threaded', '--max-semi-space-size=4', 'target/app/main.js'];
    const features = join(this.directory, 'features.toml');
    const shownLevel = process.env['LOOPBACK_LOG'];
    // A file takes all lines at once: a process that waits for its reader would change what is watched.
    const logFile = openSync(this.logFile(node), 'a');
    const child = spawn(process.execPath, [...flags, '--features', features, '--config', file], {
      stdio: ['ignore', 'ignore', shownLevel === undefined ? logFile : 'inherit'],
      env: { ...process.env, LOG_LEVEL: shownLevel ?? 'debug' },
    });
    closeSync(logFile);
    this.processes.set(node, child);
  }

  private logFile(node: string): string {
    return join(this.directory, `${node}.log`);
  }

  /** What happened around a moment (ms of `performance.now()`; null: now), for the reader of a failed test. */
  renderTimeline(around: number | null): string {
    return this.timeline.render(around, new Map(Loopback.nodes.map((node) => [node, this.logFile(node)])));
  }

  private settings(node: string): object {
    const { api, peer: mesh, state, cloud } = this.portsOf(node);
    return {
      host_name: node,
      area: 'x',
      api_addr: `${HOST}:${api}`,
      mesh_addr: `${HOST}:${mesh}`,
      siblings: Loopback.nodes
        .filter((other) => other !== node)
        .map((other) => ({
          host_name: other,
          area: 'x',
          endpoint: `${HOST}:${this.portsOf(other).peer}`,
        })),
      services: { cloud: `${HOST}:${cloud}`, state: `${HOST}:${state}` },
      facts: {
        count: 3,
        zones: ['x'],
        teams: [{ name: 't', cpus: 0, cpus_max: 0, gpus: 64, gpus_max: 64 }],
        objectives: [],
        workers: { report_s: 1, lease_s: 6, gang_wait_s: 20, gang_peer_s: 4, cancel_s: 30 },
        state: { rps: 600, write_rps: 300, value_kb: 16, txn_ops: 32 },
        cloud: { rps: this.options.cloudRps, list_lag_s: 2 },
        quota: { core_share: 1, ram_mb: 300, fd_limit: 1_000 },
        clock_error_ms: 25,
      },
    };
  }

  private child(node: string): ChildProcess {
    const child = this.processes.get(node);
    if (!child) throw new Error(`no process of ${node}`);
    return child;
  }

  /** The process stands still. */
  suspend(node: string): void {
    const child = this.child(node);
    this.timeline.record('signals', `SIGSTOP for ${node}`);
    child.kill('SIGSTOP');
    if (child.pid !== undefined) this.timeline.recordWhenStopped(node, child.pid);
  }
  resume(node: string): void {
    this.timeline.record('signals', `SIGCONT for ${node}`);
    this.child(node).kill('SIGCONT');
  }
  /** Ends the process without notice; the promise resolves when it is gone. */
  kill(node: string): Promise<void> {
    const child = this.child(node);
    return new Promise((resolve) => {
      child.once('exit', () => resolve());
      child.kill('SIGKILL');
    });
  }

  /** The API address of a controller. */
  address(node: string): string {
    return `${HOST}:${this.portsOf(node).api}`;
  }

  request(node: string, method: string, path: string, body?: unknown): Promise<CallOutcome> {
    return new PooledHttpClient(parseTarget(this.address(node)), 1).request(method, path, body, 5_000);
  }

  /** Who leads, by the state service, with the fencing token. */
  leader(): { readonly node: string; readonly token: number } | null {
    const token = this.state.version('w/c/L');
    const claim = this.state.value('w/c/L') as { n: string } | undefined;
    return claim && token > 0 ? { node: claim.n, token } : null;
  }

  async waitUntil<T>(what: string, look: () => T | null | false | Promise<T | null | false>): Promise<T> {
    const from = performance.now();
    for (;;) {
      const found = await look();
      if (found !== null && found !== false) return found;
      if (performance.now() - from > MAX_WAIT_MS) throw new Error(`waited in vain for: ${what}`);
      await pause(POLL_INTERVAL_MS);
    }
  }

  /** All controllers are ready and one leads. */
  async waitUntilReady(): Promise<{ readonly node: string; readonly token: number }> {
    for (const node of Loopback.nodes) {
      await this.waitUntil(`${node} ready`, async () => {
        const answer = await this.request(node, 'GET', '/ready');
        return answer._tag === 'response' && answer.status === 200;
      });
    }
    return this.waitUntil('a leader', () => this.leader());
  }

  async stop(): Promise<void> {
    this.timeline.stop();
    for (const child of this.processes.values()) child.kill('SIGCONT');
    await Promise.all(
      [...this.processes].map(([node, child]) =>
        child.exitCode === null && child.signalCode === null ? this.kill(node) : Promise.resolve(),
      ),
    );
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
    rmSync(this.directory, { recursive: true, force: true });
  }
}

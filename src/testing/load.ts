/**
 * Controllers as real processes on loopback (one, holding every share, unless told otherwise) against our
 * stand-ins: what reports, polls and submissions cost.
 * `node target/testing/load.js [machines] [seconds] [controllers] [node flags for them...]` after a build and
 * a bundle; prints processor time, memory and calls a second. Figures are of the machine that runs it.
 */
import { readRedirect } from '../workers/codec.js';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import * as http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { MAX_BODY_BYTES } from '../constants/http.js';
import { PooledHttpClient } from '../http/client.js';
import { parseTarget, type ServerRequest, type ServerResponse } from '../http/model.js';
import { decode, encode } from '../http/msgpack.js';
import { serve } from '../http/server.js';
import { CATALOG } from './cloud-stand-in.js';
import { KeyValueStoreStandIn } from './key-value-store-stand-in.js';

const [machinesText, secondsText, nodesText, ...flags] = process.argv.slice(2);
const MACHINES = Number(machinesText ?? 300);
const SECONDS = Number(secondsText ?? 30);
const NODES = Number(nodesText ?? 1);
const HEARTBEAT_INTERVAL_MS = 3_000;
const TASK_DURATION_MS = 20_000;
const HOST = '127.0.0.1';
/** Several may run side by side, each with ports of its own. */
const PORT = Number(process.env['LOAD_PORT'] ?? 21_000);
const apiPort = (node: number): number => PORT + 10 + node * 2;

const calls = new Map<string, number>();
const count = (name: string): void => {
  calls.set(name, (calls.get(name) ?? 0) + 1);
};

interface LoadTask {
  head: string;
  try: number;
  status: string;
  cause?: string;
  endAt: number;
}

/** A worker that does as it is told; its tasks run for a fixed time. */
class LoadWorker {
  readonly heads = new Map<string, LoadTask>();
  token = 0;
  tally = 0;
  private targetNodeIndex = 0;
  private readonly agents = Array.from(
    { length: NODES },
    () => new http.Agent({ keepAlive: true, maxSockets: 1 }),
  );
  constructor(
    readonly id: string,
    readonly spot: boolean,
  ) {}

  nextHeartbeat(): unknown {
    this.tally += 1;
    const now = Date.now();
    for (const head of this.heads.values()) {
      if (head.status === 'running' && now > head.endAt) {
        head.status = 'exited';
        head.cause = 'done';
      }
    }
    return {
      drover: this.id,
      addr: `${HOST}:${PORT + 3}`,
      breed: 'g',
      paddock: 'x',
      agistment: this.spot,
      stint: 1,
      tally: this.tally,
      crook: this.token,
      warningS: null,
      heads: [...this.heads.values()].map(({ head, try: attempt, status, cause }) => ({
        head,
        try: attempt,
        status,
        cause: cause ?? null,
      })),
    };
  }

  execute(body: { crook: number; calls: { call: string; head: string; try: number }[] }): void {
    this.token = Math.max(this.token, body.crook);
    for (const call of body.calls) {
      if (call.call === 'reap') this.heads.delete(call.head);
      else if (call.call === 'run' && this.heads.get(call.head)?.try !== call.try)
        this.heads.set(call.head, {
          head: call.head,
          try: call.try,
          status: 'running',
          endAt: Date.now() + TASK_DURATION_MS,
        });
      else if (call.call === 'stop') {
        const head = this.heads.get(call.head);
        if (head?.status === 'running') Object.assign(head, { status: 'exited', cause: 'halted' });
      }
    }
  }

  sendHeartbeat(): Promise<void> {
    count('report');
    const payload = encode(this.nextHeartbeat());
    return new Promise((resolve) => {
      const req = http.request(
        {
          host: HOST,
          port: apiPort(this.targetNodeIndex),
          path: '/hello',
          method: 'POST',
          agent: this.agents[this.targetNodeIndex],
          headers: { 'content-type': 'application/msgpack', 'content-length': payload.length },
        },
        (res) => {
          const parts: Buffer[] = [];
          res.on('data', (part: Buffer) => parts.push(part));
          res.on('end', () => {
            if (res.statusCode === 200)
              this.execute(decode(Buffer.concat(parts)) as Parameters<LoadWorker['execute']>[0]);
            else {
              count(`report ${res.statusCode}`);
              const holderNode =
                res.statusCode === 421 ? readRedirect(decode(Buffer.concat(parts))) : undefined;
              this.agents[this.targetNodeIndex]?.destroy();
              this.targetNodeIndex =
                holderNode === undefined ? (this.targetNodeIndex + 1) % NODES : Number(holderNode.slice(1));
            }
            resolve();
          });
        },
      );
      req.on('error', () => {
        count('report failed');
        resolve();
      });
      req.end(payload);
    });
  }

  async runHeartbeatLoop(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, Math.random() * HEARTBEAT_INTERVAL_MS));
    while (!releasedMachines.has(this.id)) {
      await this.sendHeartbeat();
      await new Promise((resolve) => setTimeout(resolve, HEARTBEAT_INTERVAL_MS * (0.75 + Math.random() / 2)));
    }
  }
}

const releasedMachines = new Set<string>();
const workers = Array.from({ length: MACHINES }, (_, n) => {
  return new LoadWorker(`i-${String(n).padStart(6, '0')}`, n % 2 === 0);
});

const cloud = (call: ServerRequest): ServerResponse => {
  count(`cloud ${call.path}`);
  if (call.path === '/catalog') return { status: 200, body: CATALOG };
  if (call.path === '/machines' && call.method === 'GET')
    return {
      status: 200,
      body: {
        drovers: workers
          .filter((worker) => !releasedMachines.has(worker.id))
          .map((worker) => ({
            uid: worker.id,
            breed: 'g',
            paddock: 'x',
            agistment: worker.spot,
            status: 'running',
            ageS: 60,
          })),
        more: false,
      },
    };
  if (call.path === '/machines/release' && call.body._tag === 'value')
    for (const id of (call.body.value as { drovers: string[] }).drovers) releasedMachines.add(id);
  return call.path === '/machines'
    ? { status: 503, body: { error: 'no capacity' } }
    : { status: 200, body: {} };
};

const submissionBody = (n: number): unknown => ({
  uid: `job-${String(n).padStart(6, '0')}`,
  herd: 'c',
  owner: `t${n % 6}`,
  shape: n % 3 === 0 ? 'group' : 'sweep',
  urgency: 'standard',
  heads: n % 3 === 0 ? 2 : 20,
  vcpus: n % 3 === 0 ? 57 : 6,
  accelerators: n % 3 === 0 ? 8 : 1,
  memoryGb: n % 3 === 0 ? 300 : 30,
  brand: `img-${n % 5}`,
  sizeGb: 1,
  breeds: null,
  paddock: null,
  together: n % 3 === 0,
  scatter: false,
  agistment: n % 3 !== 0,
  expectedS: TASK_DURATION_MS / 1000,
  musterEveryS: 0,
  musterS: 0,
  dueS: null,
});

const cpuMs = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) * 10;
};
const rssMb = (pid: number): number =>
  Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;

const main = async (): Promise<void> => {
  const state = new KeyValueStoreStandIn();
  state.limits.maxTransactionWrites = 48;
  const failed = (error: unknown): void => console.error(error);
  await serve(
    parseTarget(`${HOST}:${PORT + 1}`),
    { connections: 200 },
    16 * MAX_BODY_BYTES,
    async (call) => {
      count(`state ${call.method} ${call.path.split('/')[1] ?? ''}`);
      const path = call.query === '' ? call.path : `${call.path}?${call.query}`;
      const answer = await state.handle(
        'n0',
        call.method,
        path,
        call.body._tag === 'value' ? call.body.value : {},
      );
      return answer._tag === 'response' ? answer : { status: 503 };
    },
    failed,
  );
  await serve(
    parseTarget(`${HOST}:${PORT + 2}`),
    { connections: 200 },
    MAX_BODY_BYTES,
    (call) => Promise.resolve(cloud(call)),
    failed,
  );
  await serve(
    parseTarget(`${HOST}:${PORT + 3}`),
    { connections: 4_000 },
    MAX_BODY_BYTES,
    () => {
      count('direct');
      return Promise.resolve({ status: 409, body: {} });
    },
    failed,
  );
  const dir = mkdtempSync(join(tmpdir(), 'load-'));
  const start = (node: number) => {
    const file = join(dir, `settings-${node}.json`);
    writeFileSync(
      file,
      JSON.stringify({
        host_name: `n${node}`,
        area: 'x',
        api_addr: `${HOST}:${apiPort(node)}`,
        mesh_addr: `${HOST}:${apiPort(node) + 1}`,
        siblings: Array.from({ length: NODES }, (_, other) => ({
          host_name: `n${other}`,
          area: 'x',
          endpoint: `${HOST}:${apiPort(other) + 1}`,
        })).filter((_, other) => other !== node),
        services: { cloud: `${HOST}:${PORT + 2}`, state: `${HOST}:${PORT + 1}` },
        facts: {
          count: Math.max(3, NODES),
          zones: ['x'],
          teams: Array.from({ length: 6 }, (_, n) => ({
            name: `t${n}`,
            cpus: 0,
            cpus_max: 0,
            gpus: MACHINES,
            gpus_max: MACHINES * 4,
          })),
          objectives: [],
          workers: {
            report_s: HEARTBEAT_INTERVAL_MS / 1000,
            lease_s: 18,
            gang_wait_s: 45,
            gang_peer_s: 4,
            cancel_s: 48,
          },
          state: { rps: 150, write_rps: 50, value_kb: 16, txn_ops: 48 },
          cloud: { rps: 2, list_lag_s: 10 },
          quota: { core_share: 1, ram_mb: 300, fd_limit: 4_000 },
          clock_error_ms: 25,
        },
      }),
    );
    return spawn(
      process.execPath,
      ['--single-threaded', '--max-semi-space-size=4', ...flags, 'target/app/main.js', '--config', file],
      { stdio: ['ignore', 'ignore', 'inherit'], env: { ...process.env, LOG_LEVEL: 'error' } },
    );
  };
  const children = Array.from({ length: NODES }, (_, node) => start(node));
  const pids = children.map((child) => child.pid ?? 0);
  await new Promise((resolve) => setTimeout(resolve, 4_000));
  for (const worker of workers) void worker.runHeartbeatLoop();
  const users = Array.from(
    { length: NODES },
    (_, node) => new PooledHttpClient(parseTarget(`${HOST}:${apiPort(node)}`), 50),
  );
  let submitted = 0;
  const openJobs = new Set<number>();
  const submit = setInterval(
    () => {
      submitted += 1;
      const n = submitted;
      count('submit');
      void users[n % NODES]?.request('POST', '/v2/runs', submissionBody(n), 5_000).then((answer) => {
        if (answer._tag === 'response' && answer.status < 300) openJobs.add(n);
        else count('submit failed');
      });
    },
    60_000 / (MACHINES / 8),
  );
  const poll = setInterval(() => {
    for (const n of openJobs) {
      if (n % 5 !== Math.floor(Date.now() / 1000) % 5) continue;
      count('poll');
      void users[n % NODES]
        ?.request('GET', `/v2/runs/job-${String(n).padStart(6, '0')}`, undefined, 2_000)
        .then((answer) => {
          const body = answer._tag === 'response' ? (answer.body as { status?: string }) : {};
          if (body.status === 'done') openJobs.delete(n);
        });
    }
  }, 1_000);
  await new Promise((resolve) => setTimeout(resolve, 20_000));
  calls.clear();
  const from = pids.map(cpuMs);
  await new Promise((resolve) => setTimeout(resolve, SECONDS * 1_000));
  const used = pids.map((pid, node) => cpuMs(pid) - (from[node] ?? 0));
  console.log(`${MACHINES} machines, ${openJobs.size} jobs open, ${submitted} submitted`);
  pids.forEach((pid, node) => {
    console.log(
      `n${node}: processor ${((used[node] ?? 0) / SECONDS).toFixed(1)} ms a second; memory ${rssMb(pid).toFixed(0)} MB`,
    );
  });
  for (const [name, calls_] of [...calls].sort()) console.log(`${name}: ${(calls_ / SECONDS).toFixed(1)}/s`);
  clearInterval(submit);
  clearInterval(poll);
  for (const child of children) child.kill('SIGTERM');
  await Promise.all(children.map((child) => new Promise((resolve) => child.once('exit', resolve))));
  rmSync(dir, { recursive: true });
  process.exit(0);
};

await main();

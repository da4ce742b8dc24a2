/**
 * A small deployment on loopback: the controllers as processes, started with the command of
 * `deploy/service.toml`, and the stand-ins of state service, cloud and workers in this process.
 */
import { spawn } from 'node:child_process';
import { closeSync, existsSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet } from './fleet.mjs';
import { StateService } from './state.mjs';
import { call, freePort, HOST, sleep } from './wire.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Program and arguments of `run` in the deploy file. */
const runCommand = () => {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (!command) throw new Error('deploy/service.toml names no run command');
  return command.split(' ');
};

/** Writes what happens to `record.txt` beside the test, with the seconds since the start. */
export const createRecord = (testUrl) => {
  const file = fileURLToPath(new URL('record.txt', testUrl));
  const lines = [];
  const from = performance.now();
  const record = (text) => {
    lines.push(`${((performance.now() - from) / 1000).toFixed(2).padStart(7)} ${text}`);
  };
  record.save = () => writeFileSync(file, `${lines.join('\n')}\n`);
  return record;
};

export class Deployment {
  processes = new Map();
  directory = mkdtempSync(join(tmpdir(), 'dalegate-review-'));

  constructor({ names, facts, breeds, record }) {
    this.nodes = names.map(([name, area]) => ({ name, area }));
    this.facts = facts;
    this.record = record;
    this.state = new StateService(facts.state);
    this.fleet = new Fleet({ breeds, workers: facts.workers, listLagS: facts.cloud.list_lag_s, record });
    this.fleet.nodes = this.nodes;
  }

  async start() {
    // The last resort, if this process ends without `stop`.
    process.once('exit', () => {
      for (const child of this.processes.values()) child.kill('SIGKILL');
    });
    const program = runCommand().find((word) => word.endsWith('.js'));
    if (!existsSync(join(ROOT, program)))
      throw new Error(`${program} is missing: run the build of the deploy file`);
    this.cloudPort = await freePort();
    await this.fleet.listen(this.cloudPort);
    for (const node of this.nodes) {
      node.ports = { api: await freePort(), mesh: await freePort(), state: await freePort() };
      await this.state.listen(node.name, node.ports.state);
    }
    for (const node of this.nodes) this.spawn(node);
  }

  /** Where `node` finds its peer `other`; a test may put a proxy between them. */
  meshPort(node, other) {
    return other.ports.mesh;
  }

  spawn(node) {
    const file = join(this.directory, `${node.name}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(node)));
    const [program, ...flags] = runCommand();
    const log = openSync(join(this.directory, `${node.name}.log`), 'a');
    const child = spawn(program === 'node' ? process.execPath : program, [...flags, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    closeSync(log);
    child.once('exit', (code, signal) => this.record(`${node.name}: process ends (${signal ?? code})`));
    this.processes.set(node.name, child);
    this.record(`${node.name}: process starts`);
  }
  signal(name, signal) {
    this.record(`${name}: ${signal}`);
    this.processes.get(name).kill(signal);
  }

  settingsOf(node) {
    const others = this.nodes.filter((other) => other !== node);
    return {
      host_name: node.name,
      area: node.area,
      api_addr: `${HOST}:${node.ports.api}`,
      mesh_addr: `${HOST}:${node.ports.mesh}`,
      siblings: others.map((other) => ({
        host_name: other.name,
        area: other.area,
        endpoint: `${HOST}:${this.meshPort(node, other)}`,
      })),
      services: { cloud: `${HOST}:${this.cloudPort}`, state: `${HOST}:${node.ports.state}` },
      facts: { count: this.nodes.length, zones: this.nodes.map(({ area }) => area), ...this.facts },
    };
  }

  /** Waits until every controller answers `GET /ready` with 200. */
  async ready(limitMs = 30_000) {
    const until = performance.now() + limitMs;
    for (const node of this.nodes) {
      while ((await call(node.ports.api, 'GET', '/ready', undefined, 1_000)).status !== 200) {
        if (performance.now() > until) throw new Error(`${node.name} is not ready`);
        await sleep(100);
      }
      this.record(`${node.name}: ready`);
    }
  }

  /** A user's submission, repeated as the protocol says until it is answered 200, 201, 400 or 422. */
  async submit(node, job) {
    this.fleet.jobs.set(job.uid, job);
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const answer = await call(node.ports.api, 'POST', '/v2/runs', job, 5_000);
      this.record(
        `user: submits ${job.uid} at ${node.name}: ${answer.status || answer.why} ${answer.body?.status ?? ''}`,
      );
      if ([200, 201, 400, 422].includes(answer.status)) return answer;
      await sleep(1_000);
    }
    throw new Error(`${job.uid} was not accepted`);
  }
  /** One question of a user about a job, who waits 2 s for an answer. */
  async poll(node, uid) {
    const answer = await call(node.ports.api, 'GET', `/v2/runs/${uid}`, undefined, 2_000);
    this.record(
      `user: asks ${node.name} about ${uid}: ${answer.status || answer.why} ${answer.body?.status ?? ''}`,
    );
    return answer;
  }
  async abort(node, uid) {
    const answer = await call(node.ports.api, 'POST', `/v2/runs/${uid}/abort`, {}, 5_000);
    this.record(
      `user: cancels ${uid} at ${node.name}: ${answer.status || answer.why} ${answer.body?.status ?? ''}`,
    );
    return answer;
  }

  /** Ends every process that this deployment started, and its stand-ins. */
  async stop() {
    await Promise.all(
      [...this.processes.values()].map((child) => {
        if (child.exitCode !== null || child.signalCode !== null) return undefined;
        const ended = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        return ended;
      }),
    );
    this.fleet.close();
    this.state.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.directory, { recursive: true, force: true });
    else console.log(`logs of the controllers: ${this.directory}`);
  }
}

/** A submission; `fields` replace its fields. */
export const submission = (fields) => ({
  herd: 'c',
  shape: 'sweep',
  urgency: 'standard',
  heads: 1,
  vcpus: 1,
  accelerators: 0,
  memoryGb: 4,
  brand: 'img-01',
  sizeGb: 0.5,
  breeds: null,
  paddock: null,
  together: false,
  scatter: false,
  agistment: false,
  expectedS: 10,
  musterEveryS: 0,
  musterS: 0,
  dueS: null,
  ...fields,
});

/**
 * Runs a test: `play({ trouble, record, check })` resolves to whether the rule was broken. Ends the process
 * with 1 (broken), 0 (held) or 2 (could not run), after 118 s at the latest.
 */
export const main = async (testUrl, play) => {
  const record = createRecord(testUrl);
  const trouble = process.env.TROUBLE !== '0';
  record(`trouble: ${trouble ? 'yes' : 'no'}`);
  const cleanUps = [];
  const finish = async (code, text) => {
    record(text);
    console.log(text);
    for (const cleanUp of cleanUps.reverse()) await cleanUp();
    record.save();
    process.exit(code);
  };
  const timer = setTimeout(() => void finish(2, 'could not run: no verdict within 118 s'), 118_000);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.once(signal, () => void finish(2, `could not run: ${signal}`));
  process.once('uncaughtException', (error) => void finish(2, `could not run: ${error.stack}`));
  try {
    const verdict = await play({ trouble, record, onEnd: (cleanUp) => cleanUps.push(cleanUp) });
    clearTimeout(timer);
    await finish(verdict.broken ? 1 : 0, `${verdict.broken ? 'BROKEN' : 'HELD'}: ${verdict.text}`);
  } catch (error) {
    clearTimeout(timer);
    await finish(2, `could not run: ${error.stack ?? error}`);
  }
};

/**
 * Stand-ins for the cloud and for workers, after "Controller nodes -> cloud", "Workers -> controller nodes",
 * "Controller nodes -> workers" and "Gangs" of the protocol. Progress is not saved (jobs here have
 * `musterEveryS` 0). `ledger` gets a line for each start and end of a task on a machine.
 */
import * as http from 'node:http';
import { call, freePort, HOST, serve, sleep } from './wire.mjs';

/** One machine and its worker. */
export class Worker {
  stint = 1;
  tally = 0;
  crook = 0;
  gone = false;
  /** Whether the machine reaches no controller and no controller reaches it. */
  cut = false;
  /** Until when the machine hangs, in ms of the steady clock. */
  hungUntil = 0;
  tasks = new Map();
  images = new Set();
  fetching = new Map();
  target = 0;
  agents = new Map();
  /** Bodies of the direct commands that were carried out. */
  direct = [];
  leaseFrom = performance.now();

  constructor(fleet, machine, port) {
    this.fleet = fleet;
    this.machine = machine;
    this.port = port;
    this.addr = `${HOST}:${port}`;
  }

  /** Takes the port; the machine answers nothing before `start`. */
  async listen() {
    this.server = await serve(this.port, (request) => this.handle(request));
  }
  start() {
    this.up = true;
    this.leaseFrom = performance.now();
    this.ticker = setInterval(() => this.tick(), 50);
    void this.reportLoop();
  }
  /** The machine is gone, and everything on it. */
  stop(why) {
    if (this.gone) return;
    this.gone = true;
    for (const task of [...this.tasks.values()]) this.leave(task, why);
    clearInterval(this.ticker);
    this.server?.closeAllConnections();
    this.server?.close();
    for (const agent of this.agents.values()) agent.destroy();
  }

  get hung() {
    return performance.now() < this.hungUntil;
  }

  // ---- tasks

  onMachine(task) {
    return task.status !== 'pulling' && task.status !== 'exited';
  }
  leave(task, why) {
    const before = this.onMachine(task);
    task.status = 'exited';
    task.cause = why;
    if (before) this.fleet.ledger('left', this, task, why);
  }
  expireLease() {
    if (performance.now() - this.leaseFrom <= this.fleet.workers.lease_s * 1000) return;
    for (const task of this.tasks.values()) if (task.status !== 'exited') this.leave(task, 'lease over');
    if (this.tasks.size > 0) this.fleet.note(`${this.machine.uid}: lease over, all tasks dropped`);
    this.tasks.clear();
    this.stint += 1;
    this.leaseFrom = performance.now();
    this.changed = true;
  }
  tick() {
    if (this.gone || this.hung) return;
    this.expireLease();
    const now = performance.now();
    for (const task of this.tasks.values()) {
      if (task.status === 'pulling' && this.hasImage(task, now)) {
        task.status = task.job.shape === 'group' ? 'gathering' : 'running';
        task.since = now;
        this.changed = true;
        this.fleet.ledger('on', this, task, '');
      }
      if (task.status === 'gathering' && this.fleet.isComplete(task)) {
        task.status = 'running';
        task.since = now;
        this.changed = true;
      } else if (task.status === 'gathering' && now - task.since > this.fleet.workers.gang_wait_s * 1000) {
        this.leave(task, 'alone');
        this.changed = true;
      }
      if (task.status !== 'running') continue;
      const finished = this.fleet.isDone(task);
      if (task.job.shape === 'group' && !finished && !this.fleet.isComplete(task)) {
        task.lonelySince ??= now;
        if (now - task.lonelySince > this.fleet.workers.gang_peer_s * 1000) {
          this.leave(task, 'peers');
          this.changed = true;
          continue;
        }
      } else task.lonelySince = undefined;
      const runMs = this.fleet.runSeconds(task.job, task.index) * 1000;
      if (finished || (task.job.shape !== 'service' && now - task.since >= runMs)) {
        this.fleet.markDone(task);
        this.leave(task, 'done');
        this.changed = true;
      }
    }
  }
  hasImage(task, now) {
    const { brand, sizeGb } = task.job;
    if (this.images.has(brand)) return true;
    if (!this.fetching.has(brand))
      this.fetching.set(brand, now + (sizeGb / this.fleet.typeOf(this.machine.breed).pullGbPerS) * 1000);
    if (now < this.fetching.get(brand)) return false;
    this.images.add(brand);
    return true;
  }
  run(head, attempt) {
    const held = this.tasks.get(head);
    if (held?.attempt === attempt) return;
    const slash = head.lastIndexOf('/');
    const job = this.fleet.jobs.get(head.slice(0, slash));
    const task = {
      head,
      attempt,
      index: Number(head.slice(slash + 1)),
      job,
      status: 'pulling',
      worker: this,
    };
    if (held && held.status !== 'exited') {
      this.fleet.note(
        `${this.machine.uid}: start of ${head} try ${attempt} refused, try ${held.attempt} is here`,
      );
      this.refusals ??= new Map();
      this.refusals.set(`${head}#${attempt}`, { head, try: attempt, status: 'exited', cause: 'busy' });
      return;
    }
    this.tasks.set(head, task);
    if (!job) this.leave(task, 'unknown');
    else if (!this.hasRoom(task)) this.leave(task, 'no_room');
  }
  hasRoom(added) {
    const type = this.fleet.typeOf(this.machine.breed);
    const used = [...this.tasks.values()].filter((task) => task !== added && task.status !== 'exited');
    return ['vcpus', 'accelerators', 'memoryGb'].every(
      (field) => used.reduce((sum, { job }) => sum + job[field], added.job[field]) <= type[field] + 1e-6,
    );
  }

  // ---- commands and reports

  execute(token, calls) {
    if (token > this.crook) this.changed = true;
    this.crook = token;
    for (const command of calls ?? []) {
      this.fleet.note(
        `${this.machine.uid}: ${command.call} ${command.head} try ${command.try} (token ${token})`,
      );
      const held = this.tasks.get(command.head);
      if (command.call === 'run') this.run(command.head, command.try);
      if (command.call === 'stop' && held?.attempt === command.try && held.status !== 'exited')
        this.leave(held, 'halted');
      if (command.call === 'reap') {
        if (held?.attempt === command.try && held.status === 'exited') this.tasks.delete(command.head);
        this.refusals?.delete(`${command.head}#${command.try}`);
      }
      this.changed = true;
    }
  }
  report() {
    this.tally += 1;
    const { uid, breed, paddock, agistment } = this.machine;
    return {
      drover: uid,
      addr: this.addr,
      breed,
      paddock,
      agistment,
      stint: this.stint,
      tally: this.tally,
      crook: this.crook,
      warningS: null,
      heads: [
        ...[...this.tasks.values()].map(({ head, attempt, status, cause }) => ({
          head,
          try: attempt,
          status,
          ...(status === 'exited' ? { cause: cause === 'stopped' ? 'halted' : cause } : {}),
        })),
        ...(this.refusals?.values() ?? []),
      ],
    };
  }
  async handle({ path, body }) {
    while (this.hung) await sleep(20);
    if (this.cut || this.gone || !this.up) return null;
    this.expireLease();
    if (path === '/inspect') return { status: 200, body: this.report() };
    if (typeof body?.crook !== 'number' || typeof body.stint !== 'number') return { status: 400 };
    if (body.crook < this.crook || body.stint !== this.stint) return { status: 409, body: this.report() };
    this.direct.push(body);
    this.execute(body.crook, body.calls);
    return { status: 200, body: this.report() };
  }
  async reportLoop() {
    const { nodes, workers } = this.fleet;
    while (!this.gone) {
      const pause = await this.reportOnce(nodes);
      const from = performance.now();
      const interval = pause ?? workers.report_s * 1000 * (0.75 + Math.random() / 2);
      while (!this.gone && performance.now() - from < interval) {
        await sleep(25);
        if (pause === null && this.changed && performance.now() - from >= 500) break;
      }
    }
  }
  /** Sends one report; returns the pause before the next one in ms, null for the usual one. */
  async reportOnce(nodes) {
    while (this.hung) await sleep(20);
    if (this.gone) return 0;
    this.expireLease();
    this.changed = false;
    const node = nodes[this.target % nodes.length];
    if (!this.agents.has(node.name))
      this.agents.set(node.name, new http.Agent({ keepAlive: true, maxSockets: 1 }));
    const { stint } = this;
    const sentAt = performance.now();
    const answer = this.cut
      ? await sleep(4_000).then(() => ({ status: 0 }))
      : await call(node.ports.api, 'POST', '/hello', this.report(), 4_000, this.agents.get(node.name));
    while (this.hung) await sleep(20);
    if (this.gone) return 0;
    this.expireLease();
    if (answer.status === 200 && performance.now() - sentAt <= 4_000) {
      const token = answer.body?.crook;
      if (stint === this.stint && typeof token === 'number' && token >= this.crook) {
        this.execute(token, answer.body.calls);
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
      }
      return null;
    }
    this.agents.get(node.name).destroy();
    this.agents.delete(node.name);
    const boss = answer.status === 421 ? nodes.findIndex(({ name }) => name === answer.body?.boss) : -1;
    if (boss >= 0 && boss !== this.target % nodes.length) {
      this.target = boss;
      return 100;
    }
    this.target = (this.target + 1) % nodes.length;
    return 1_000;
  }
}

/** The cloud and its machines. */
export class Fleet {
  /** Machines by name. */
  machines = new Map();
  /** Descriptions of the submitted jobs, as their users uploaded them. */
  jobs = new Map();
  done = new Set();
  hires = new Map();
  lastMachine = 0;
  servers = [];
  /** Returns how many machines of a kind the cloud still has. */
  capacity = () => Number.POSITIVE_INFINITY;

  constructor({ breeds, workers, listLagS, record }) {
    this.breeds = breeds;
    this.workers = workers;
    this.listLagMs = listLagS * 1000;
    this.note = record;
    this.nodes = [];
    this.history = [];
    this.runs = new Map();
  }
  typeOf(sku) {
    return this.breeds.find((breed) => breed.sku === sku);
  }
  async listen(port) {
    this.server = await serve(port, (request) => this.handle(request));
  }
  close() {
    for (const { worker } of this.machines.values()) worker?.stop('end of the test');
    for (const server of [this.server, ...this.servers]) {
      server?.closeAllConnections();
      server?.close();
    }
  }

  ledger(what, worker, task, why) {
    const entry = {
      at: performance.now(),
      what,
      machine: worker.machine.uid,
      head: task.head,
      attempt: task.attempt,
      why,
    };
    this.history.push(entry);
    this.note(
      `${worker.machine.uid}: ${task.head} try ${task.attempt} ${what === 'on' ? 'starts' : `leaves: ${why}`}`,
    );
  }
  runSeconds(job) {
    return this.runs.get(job.uid) ?? job.expectedS;
  }
  tasksOf(task) {
    return [...this.machines.values()].flatMap(({ worker }) =>
      worker && !worker.gone ? [...worker.tasks.values()].filter(({ job }) => job === task.job) : [],
    );
  }
  isComplete(task) {
    const mates = this.tasksOf(task).filter(
      (mate) =>
        mate.attempt === task.attempt &&
        (mate.status === 'gathering' || mate.status === 'running') &&
        !mate.worker.hung,
    );
    return new Set(mates.map(({ index }) => index)).size === task.job.heads;
  }
  isDone(task) {
    return this.done.has(task.job.shape === 'group' ? task.job.uid : task.head);
  }
  markDone(task) {
    this.done.add(task.job.shape === 'group' ? task.job.uid : task.head);
  }

  /** Adds a machine; its worker starts to report after `bootMs`. */
  async rent(breed, paddock, agistment, bootMs) {
    this.lastMachine += 1;
    const uid = `i-${String(this.lastMachine).padStart(6, '0')}`;
    const machine = {
      uid,
      breed,
      paddock,
      agistment,
      from: performance.now(),
      status: 'starting',
      worker: null,
    };
    this.machines.set(uid, machine);
    this.note(`cloud: ${uid} is rented (${breed}, ${paddock}, ${agistment ? 'spot' : 'ordinary'})`);
    const worker = new Worker(this, machine, await freePort());
    await worker.listen();
    machine.addr = worker.addr;
    this.servers.push(worker.server);
    setTimeout(() => {
      if (!this.machines.has(uid)) return;
      machine.status = 'running';
      machine.worker = worker;
      worker.start();
    }, bootMs);
    return uid;
  }
  /** Takes a machine away without notice. */
  take(uid) {
    const machine = this.machines.get(uid);
    this.machines.delete(uid);
    machine?.worker?.stop('machine taken');
    this.note(`cloud: ${uid} is gone`);
  }

  async handle({ method, path, query, body }) {
    if (path === '/catalog') return { status: 200, body: { breeds: this.breeds } };
    if (path === '/machines' && method === 'GET') return { status: 200, body: this.list(query) };
    if (path === '/machines/release') {
      for (const uid of body.drovers) if (this.machines.has(uid)) this.take(uid);
      return { status: 200, body: {} };
    }
    if (path !== '/machines') return { status: 404, body: {} };
    const known = this.hires.get(body.hire);
    if (known) return { status: 200, body: { drovers: known } };
    const count = Math.min(body.howMany, this.capacity(body.breed, body.paddock, body.agistment));
    if (count <= 0) {
      this.note(
        `cloud: no capacity for ${body.breed}, ${body.paddock}, ${body.agistment ? 'spot' : 'ordinary'}`,
      );
      return { status: 503, body: { error: 'no capacity' } };
    }
    const drovers = [];
    const { readyS } = this.typeOf(body.breed);
    for (let n = 0; n < count; n += 1)
      drovers.push(await this.rent(body.breed, body.paddock, body.agistment, readyS * 1000));
    this.hires.set(body.hire, drovers);
    return { status: 200, body: { drovers } };
  }
  list(query) {
    const since = query.get('since') ?? '';
    const most = Number(query.get('most') ?? 500);
    const now = performance.now();
    const rows = [...this.machines.values()].filter(
      ({ uid, from }) => uid > since && now - from > this.listLagMs,
    );
    const drovers = rows.slice(0, most).map(({ uid, addr, breed, paddock, agistment, status, from }) => ({
      uid,
      addr,
      breed,
      paddock,
      agistment,
      status,
      ageS: (now - from - this.listLagMs) / 1000,
    }));
    return { drovers, more: rows.length > most };
  }
}

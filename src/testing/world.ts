/**
 * Stand-ins for everything outside a controller, written to the published protocol: state service, cloud,
 * workers and the network between them, on a virtual clock and from one seed. They check the rules as they go.
 */
import * as prand from 'pure-rand';
import type { Answer } from '../http.js';

export class Luck {
  private readonly generator: prand.RandomGenerator;
  constructor(seed: number) {
    this.generator = prand.xoroshiro128plus(seed);
  }
  below(bound: number): number {
    return prand.unsafeUniformIntDistribution(0, bound - 1, this.generator);
  }
  chance(share: number): boolean {
    return this.below(1_000_000) < share * 1_000_000;
  }
}

type Record_ = Record<string, unknown>;
const reply = (status: number, body: unknown = {}): Answer => ({ _tag: 'answer', status, body });
/** What crosses the network is a copy. */
const copy = <T>(value: T): T => structuredClone(value);

export class StateStandIn {
  private epoch = 0;
  private readonly data = new Map<string, { value: unknown; version: number; lease: number | null }>();
  private readonly leases = new Map<number, { until: number; ttl: number }>();
  private readonly news: { key: string; value?: unknown; version: number }[] = [];
  private lastLease = 0;
  down = false;
  /** bytes of one value and changes of one transaction, at most; what passed them. */
  limits = { valueBytes: 16 * 1024, ops: 32 };
  readonly tooLarge: string[] = [];
  /** Nodes that alone are refused. */
  readonly refused = new Set<string>();

  private expire(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) {
      if (Date.now() <= lease.until) continue;
      this.leases.delete(id);
      const keys = [...this.data].filter(([, entry]) => entry.lease === id).map(([key]) => key);
      if (keys.length > 0) this.epoch += 1;
      for (const key of keys) this.remove(key);
    }
  }
  private remove(key: string): void {
    if (this.data.delete(key)) this.news.push({ key, version: this.epoch });
  }
  outage(on: boolean): void {
    this.expire();
    this.down = on;
    // Once an outage ends, every lease has its full time again.
    if (!on) for (const lease of this.leases.values()) lease.until = Date.now() + lease.ttl;
  }
  value(key: string): unknown {
    return this.data.get(key)?.value;
  }
  keys(prefix: string): string[] {
    return [...this.data.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  async handle(from: string, method: string, path: string, body: unknown): Promise<Answer> {
    this.expire();
    const [route, query] = path.split('?', 2);
    const params = new URLSearchParams(query ?? '');
    if (route === '/follow') return this.follow(from, params);
    if (this.down || this.refused.has(from)) return reply(503);
    if (route === '/txn') return this.txn(body as Record_);
    if (route === '/holds') {
      this.lastLease += 1;
      const ttl = (body as { ttlMs: number }).ttlMs;
      this.leases.set(this.lastLease, { until: Date.now() + ttl, ttl });
      return reply(200, { permit: this.lastLease });
    }
    const renew = /^\/holds\/(\d+)\/renew$/.exec(route ?? '');
    if (renew) {
      const lease = this.leases.get(Number(renew[1]));
      if (!lease) return reply(404);
      lease.until = Date.now() + lease.ttl;
      return reply(200, { permit: Number(renew[1]) });
    }
    if (route === '/store') {
      const after = params.get('since') ?? '';
      const keys = this.keys(params.get('under') ?? '').filter((key) => key > after);
      const most = Number(params.get('most') ?? 1000);
      const rows = keys.slice(0, most).map((key) => this.row(key));
      return reply(200, { rows: copy(rows), more: keys.length > most, epoch: this.epoch });
    }
    const key = (route ?? '').slice('/store/'.length);
    return this.data.has(key) ? reply(200, copy(this.row(key))) : reply(404, { epoch: this.epoch });
  }
  private row(key: string): Record_ {
    const entry = this.data.get(key);
    return { path: key, data: entry?.value, brandMark: entry?.version };
  }

  private txn(body: Record_): Answer {
    const when = body['when'] as { path: string; brandMark: number }[];
    const writes = body['writes'] as (
      { write: string; data: unknown; permit?: number } | { remove: string }
    )[];
    const sizes = writes.map((write) =>
      'write' in write ? Buffer.byteLength(JSON.stringify(write.data)) : 0,
    );
    const large = sizes.findIndex((size) => size > this.limits.valueBytes);
    if (large >= 0 || writes.length > this.limits.ops || when.length > 4 * this.limits.ops) {
      const key = large >= 0 ? JSON.stringify(writes[large]).slice(0, 60) : '';
      this.tooLarge.push(
        `${key} ${sizes[large] ?? 0} B, ${writes.length} changes, ${when.length} conditions`,
      );
      return reply(400, { error: 'too large' });
    }
    for (const write of writes) {
      if ('write' in write && write.permit !== undefined && !this.leases.has(write.permit)) {
        return reply(400, { error: 'no such lease' });
      }
    }
    const failed = when.filter(
      (condition) => (this.data.get(condition.path)?.version ?? 0) !== condition.brandMark,
    );
    if (failed.length > 0)
      return reply(409, { failed: failed.map((condition) => condition.path), epoch: this.epoch });
    if (writes.length > 0) this.epoch += 1;
    for (const write of writes) {
      if ('write' in write) {
        this.data.set(write.write, {
          value: copy(write.data),
          version: this.epoch,
          lease: write.permit ?? null,
        });
        this.news.push({ key: write.write, value: copy(write.data), version: this.epoch });
      } else this.remove(write.remove);
    }
    return reply(200, { epoch: this.epoch });
  }

  private async follow(from: string, params: URLSearchParams): Promise<Answer> {
    const since = Number(params.get('since'));
    const until = Date.now() + Number(params.get('waitMs') ?? 0);
    const prefix = params.get('under') ?? '';
    for (;;) {
      const blocked = this.down || this.refused.has(from);
      this.expire();
      const found = this.news.filter((event) => event.version > since && event.key.startsWith(prefix));
      if (!blocked && (found.length > 0 || Date.now() >= until)) {
        const news = found.map((event) =>
          event.value === undefined
            ? { remove: event.key, brandMark: event.version }
            : { write: event.key, data: copy(event.value), brandMark: event.version },
        );
        return reply(200, { epoch: this.epoch, news });
      }
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }
}

export interface StandInJob {
  readonly body: Record_;
  readonly id: string;
  readonly team: string;
  readonly gang: boolean;
  readonly oneZone: boolean;
  readonly tasks: number;
  readonly gpus: number;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly runMs: number;
  /** Jobs that have to be done before a task of this one starts. */
  readonly follows?: readonly StandInJob[];
  /** ms that each task runs longer than the one before. */
  readonly apartMs?: number;
  accepted: boolean;
  cancelledAt: number | null;
  doneTold: boolean;
}

interface OnMachine {
  readonly job: StandInJob;
  readonly index: number;
  readonly attempt: number;
  state: 'pulling' | 'gathering' | 'running' | 'exited';
  cause: string;
  readyAt: number;
  startedAt: number | null;
}

/** One machine with its worker. */
export class WorkerStandIn {
  session = 1;
  seq = 0;
  token = 0;
  dead = false;
  /** Cut from the controllers: nothing gets in or out. */
  cut = false;
  /** Its reports arrive, but neither answers nor commands reach it. */
  deaf = false;
  /** It reaches no controller, while direct commands reach it. */
  mute = false;
  /** ms: until then it does nothing; what arrives meanwhile waits. */
  hungUntil = 0;
  readonly tasks = new Map<string, OnMachine>();
  readonly cached = new Set<string>();
  private leaseFrom = Date.now();
  private target = 0;

  constructor(
    readonly id: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly world: World,
  ) {}

  report(): Record_ {
    this.seq += 1;
    return {
      drover: this.id,
      addr: `${this.id}:9000`,
      breed: 'g',
      paddock: this.zone,
      agistment: this.spot,
      stint: this.session,
      tally: this.seq,
      crook: this.token,
      warningS: null,
      heads: [...this.tasks].map(([key, task]) => ({
        head: key,
        try: task.attempt,
        status: task.state,
        ...(task.state === 'exited' ? { cause: task.cause } : {}),
      })),
    };
  }

  execute(token: number, calls: readonly Record_[]): boolean {
    if (token < this.token) return false;
    this.token = token;
    for (const call of calls) {
      const key = call['head'] as string;
      const attempt = call['try'] as number;
      const held = this.tasks.get(key);
      if (call['call'] === 'reap') {
        if (held && held.attempt === attempt && held.state === 'exited') this.tasks.delete(key);
      } else if (call['call'] === 'stop') {
        if (held && held.attempt === attempt && held.state !== 'exited') this.exit(held, 'halted');
      } else if (!held || held.state === 'exited') {
        if (held?.attempt === attempt) continue;
        const [id, index] = key.split('/') as [string, string];
        const job = this.world.jobs.get(id);
        if (!job) throw new Error(`unknown job ${id}`);
        const task: OnMachine = {
          job,
          index: Number(index),
          attempt,
          state: 'pulling',
          cause: '',
          readyAt: Date.now() + (this.cached.has(id) ? 0 : 2_000),
          startedAt: null,
        };
        const used = [...this.tasks.values()].filter((other) => other.state !== 'exited');
        if (used.reduce((sum, other) => sum + other.job.gpus, 0) + job.gpus > 8) this.exit(task, 'no_room');
        this.tasks.set(key, task);
      }
    }
    return true;
  }

  private exit(task: OnMachine, cause: string): void {
    task.state = 'exited';
    task.cause = cause;
  }

  get hung(): boolean {
    return Date.now() < this.hungUntil;
  }
  async awake(): Promise<void> {
    while (this.hung) await new Promise((resolve) => setTimeout(resolve, 20));
  }
  /** The worker looks at its clock before anything else, also when it resumes. */
  get leaseOver(): boolean {
    return Date.now() - this.leaseFrom > this.world.leaseMs;
  }
  expire(): void {
    if (!this.leaseOver) return;
    this.session += 1;
    this.tasks.clear();
    this.leaseFrom = Date.now();
  }

  /** Called every step of the clock. */
  step(): void {
    const now = Date.now();
    if (this.dead || this.hung) return;
    this.expire();
    for (const task of this.tasks.values()) {
      if (task.state === 'pulling' && now >= task.readyAt) {
        this.cached.add(task.job.id);
        this.world.onStart(this, task.job, task.index);
        task.state = task.job.gang ? 'gathering' : 'running';
        task.startedAt = now;
      }
      if (task.state === 'gathering' && this.world.gangComplete(task.job, task.attempt)) {
        task.state = 'running';
        task.startedAt = now;
      }
      if (task.state === 'running' && task.job.gang && !this.world.gangComplete(task.job, task.attempt))
        this.exit(task, 'peers');
      if (
        task.state === 'running' &&
        task.startedAt !== null &&
        now - task.startedAt >= task.job.runMs + (task.job.apartMs ?? 0) * task.index
      ) {
        this.world.onDone(task.job, task.index);
      }
    }
    for (const task of this.tasks.values()) {
      if (task.state === 'running' && this.world.isDone(task.job, task.index)) this.exit(task, 'done');
    }
  }

  async live(): Promise<void> {
    while (!this.dead) {
      const session = this.session;
      const sentAt = Date.now();
      const answer = await this.world.call(
        this.id,
        this.world.nodes[this.target] ?? '',
        'POST',
        '/hello',
        this.report(),
        4_000,
      );
      await this.awake();
      this.expire();
      if (this.dead) return;
      // An answer that waited with a hung machine is dropped like any that took too long.
      if (Date.now() - sentAt > 4_000) continue;
      let pause = this.world.reportMs;
      if (answer._tag === 'answer' && answer.status === 200) {
        const body = answer.body as { crook: number; calls: Record_[] };
        if (session === this.session && this.execute(body.crook, body.calls))
          this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        if (body.calls.length > 0) pause = 500;
      } else {
        const boss =
          answer._tag === 'answer' && answer.status === 421
            ? (answer.body as { boss?: string }).boss
            : undefined;
        const next = boss === undefined ? -1 : this.world.nodes.indexOf(boss);
        pause = next >= 0 && next !== this.target ? 100 : 1_000;
        this.target = next >= 0 && next !== this.target ? next : (this.target + 1) % this.world.nodes.length;
      }
      await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }
}

/** The network, the cloud, and what the rules say. */
export class World {
  readonly state = new StateStandIn();
  readonly machines = new Map<string, WorkerStandIn>();
  readonly jobs = new Map<string, StandInJob>();
  readonly broken: string[] = [];
  readonly starts: string[] = [];
  private readonly finished = new Set<string>();
  private readonly hires = new Map<string, string[]>();
  private readonly handlers = new Map<
    string,
    (method: string, path: string, body: unknown) => Promise<Answer>
  >();
  private created = 0;
  /** Probability that a message, or its answer, gets lost, or is held and delivered late. */
  loss = 0;
  /** Probability that a transaction with changes gets no answer and is carried out 2 to 12 s later. */
  lateWrites = 0;
  /** Probability that a copy of a report comes again, from 2 s to two leases later. */
  lateReports = 0;
  /** ms: the state service takes up to this long for an answer. */
  stateSlowMs = 0;
  /** Probability that a message that was carried out is delivered once more, after one of these times (ms). */
  copies = 0;
  copyAfter: readonly number[] = [1_000];
  /** Machines that the cloud has in each zone. */
  capacity = 6;
  private readonly severed = new Map<string, { others: readonly string[]; at: number }>();

  constructor(
    readonly nodes: readonly string[],
    readonly luck: Luck,
    readonly leaseMs: number,
    readonly reportMs: number,
    readonly limits: ReadonlyMap<string, number>,
    readonly cancelMs: number,
  ) {}

  attach(name: string, handler: (method: string, path: string, body: unknown) => Promise<Answer>): void {
    this.handlers.set(name, handler);
  }
  /** From now on this end can't reach those, nor they it; an empty list mends all. */
  sever(name: string, others: readonly string[]): void {
    this.severed.set(name, { others, at: Date.now() });
  }
  /** Without state service and peers a node may command for as long as its claims surely last, no longer. */
  private checkSilence(node: string): void {
    const cut = this.severed.get(node);
    if (!cut?.others.includes('state') || Date.now() - cut.at < 6_000) return;
    this.broken.push(
      `${node} commands ${Math.round((Date.now() - cut.at) / 1000)} s after it lost the state`,
    );
  }
  private isSevered(from: string, to: string): boolean {
    const plain = (end: string): string => end.replace('mesh-', '');
    return (
      (this.severed.get(from)?.others.includes(to) ?? false) ||
      (to.startsWith('mesh-') && (this.severed.get(plain(to))?.others.includes(`mesh-${from}`) ?? false))
    );
  }
  private readonly holds = new Map<string, { others: readonly string[]; queue: (() => void)[] }>();
  /** From now on what this end and those say to each other waits; an empty list delivers all of it, in order. */
  hold(name: string, others: readonly string[]): void {
    const before = this.holds.get(name);
    if (others.length > 0) {
      this.holds.set(name, { others, queue: before?.queue ?? [] });
      return;
    }
    this.holds.delete(name);
    for (const deliver of before?.queue ?? []) deliver();
  }
  private holding(from: string, to: string): (() => void)[] | null {
    const plain = (end: string): string => end.replace('mesh-', '');
    const between = (a: string, b: string): (() => void)[] | null => {
      const hold = this.holds.get(plain(a));
      return hold?.others.includes(plain(b)) ? hold.queue : null;
    };
    return between(from, to) ?? between(to, from);
  }
  detach(name: string): void {
    this.handlers.delete(name);
  }

  private deliver(from: string, to: string, method: string, path: string, body: unknown): Promise<Answer> {
    const machine = this.machines.get(to);
    if (machine) {
      if (machine.dead || machine.cut || machine.deaf) return new Promise(() => undefined);
      if (machine.hung) return machine.awake().then(() => this.deliver(from, to, method, path, body));
      machine.expire();
      const raw = body as { crook: number; stint: number; calls: Record_[] };
      const ok = raw.stint === machine.session && machine.execute(raw.crook, raw.calls);
      return Promise.resolve(reply(ok ? 200 : 409, machine.report()));
    }
    const sender = this.machines.get(from);
    if (sender?.cut || sender?.mute) return new Promise(() => undefined);
    if (to === 'state') return this.state.handle(from, method, path, body);
    if (to === 'cloud') return Promise.resolve(this.cloud(method, path, body));
    return (
      this.handlers.get(to)?.(method, path, body) ?? Promise.resolve({ _tag: 'silence', why: 'refused' })
    );
  }

  call(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Answer> {
    const sent = copy(body);
    if (this.isSevered(from, to)) return Promise.resolve({ _tag: 'silence', why: 'refused' });
    return new Promise((resolve) => {
      setTimeout(() => resolve({ _tag: 'silence', why: 'timeout' }), timeoutMs);
      const again = this.luck.chance(this.copies)
        ? (this.copyAfter[this.luck.below(this.copyAfter.length)] ?? 1_000)
        : null;
      /** What was answered 503 or 429 was not carried out, and never will be: of the rest a copy may come. */
      const repeat = (answer: Answer): void => {
        const refused = answer._tag === 'answer' && (answer.status === 503 || answer.status === 429);
        if (again === null || (refused && to === 'state')) return;
        setTimeout(() => void this.deliver(from, to, method, path, copy(sent)), again);
      };
      if (path === '/hello' && this.luck.chance(this.lateReports))
        setTimeout(
          () => void this.deliver(from, to, method, path, copy(sent)),
          2_000 + this.luck.below(2 * this.leaseMs),
        );
      if (path === '/txn' && this.luck.chance(this.lateWrites)) {
        if ((sent as { writes: unknown[] }).writes.length > 0) {
          setTimeout(() => void this.deliver(from, to, method, path, sent), 2_000 + this.luck.below(10_000));
          return;
        }
      }
      const held = this.holding(from, to);
      if (held) {
        held.push(() => void this.deliver(from, to, method, path, sent));
        return;
      }
      const late = this.luck.chance(this.loss);
      const slow = to === 'state' && !path.startsWith('/follow') ? this.luck.below(this.stateSlowMs + 1) : 0;
      const delay = slow + (late ? timeoutMs + this.luck.below(20_000) : 1 + this.luck.below(10));
      setTimeout(() => {
        void this.deliver(from, to, method, path, sent).then((answer) => {
          repeat(answer);
          if (path === '/hello' && answer._tag === 'answer' && answer.status === 200) this.checkSilence(to);
          if (this.luck.chance(this.loss) || this.machines.get(from)?.deaf) return;
          setTimeout(() => resolve(copy(answer)), 1 + this.luck.below(10));
        });
      }, delay);
    });
  }

  private cloud(method: string, path: string, body: unknown): Answer {
    if (path === '/catalog') {
      return reply(200, {
        breeds: [
          {
            sku: 'g',
            vcpus: 64,
            accelerators: 8,
            memoryGb: 256,
            localGb: 100,
            pullGbPerS: 1,
            hourly: 8,
            marketPrice: 2,
            readyS: 5,
            paddocks: ['x', 'y'],
          },
        ],
      });
    }
    if (path === '/machines') {
      const hire = body as { hire: string; paddock: string; agistment: boolean; howMany: number };
      const known = this.hires.get(hire.hire);
      if (known) return reply(200, { drovers: known });
      const ids: string[] = [];
      const there = [...this.machines.values()].filter(
        (machine) => !machine.dead && machine.zone === hire.paddock,
      ).length;
      for (let k = 0; k < Math.min(hire.howMany, this.capacity - there); k += 1)
        ids.push(this.boot(hire.paddock, hire.agistment, 5_000));
      if (ids.length === 0) return reply(503, { error: 'no capacity' });
      this.hires.set(hire.hire, ids);
      return reply(200, { drovers: ids });
    }
    if (path === '/machines/release') {
      for (const id of (body as { drovers: string[] }).drovers) this.kill(id);
      return reply(200);
    }
    const drovers = [...this.machines.values()]
      .filter((machine) => !machine.dead)
      .map((machine) => ({
        uid: machine.id,
        addr: `${machine.id}:9000`,
        breed: 'g',
        paddock: machine.zone,
        agistment: machine.spot,
        status: 'running',
        ageS: 60,
      }));
    return reply(200, { drovers, more: false });
  }

  boot(zone: string, spot: boolean, afterMs: number): string {
    const id = `i-${String(this.created).padStart(6, '0')}`;
    this.created += 1;
    const machine = new WorkerStandIn(id, zone, spot, this);
    this.machines.set(id, machine);
    setTimeout(() => void machine.live(), afterMs);
    return id;
  }
  kill(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    machine.dead = true;
    machine.tasks.clear();
  }

  private occupied(): { machine: WorkerStandIn; task: OnMachine }[] {
    // A machine that hangs may resume within its lease; after that its tasks never go on.
    const may = [...this.machines.values()].filter((machine) => !(machine.hung && machine.leaseOver));
    return may.flatMap((machine) =>
      [...machine.tasks.values()]
        .filter((task) => task.state === 'gathering' || task.state === 'running')
        .map((task) => ({ machine, task })),
    );
  }
  gangComplete(job: StandInJob, attempt: number): boolean {
    const present = this.occupied().filter(({ task }) => task.job === job && task.attempt === attempt).length;
    return present === job.tasks || this.finished.has(`${job.id}/0`);
  }
  isDone(job: StandInJob, index: number): boolean {
    return this.finished.has(`${job.id}/${index}`);
  }
  onDone(job: StandInJob, index: number): void {
    if (!job.gang) this.finished.add(`${job.id}/${index}`);
    else for (let k = 0; k < job.tasks; k += 1) this.finished.add(`${job.id}/${k}`);
  }
  allDone(job: StandInJob): boolean {
    return Array.from({ length: job.tasks }, (_, index) => index).every((index) => this.isDone(job, index));
  }

  /** The rules that concern starts. */
  onStart(machine: WorkerStandIn, job: StandInJob, index: number): void {
    this.starts.push(`${job.id}/${index}@${machine.id}`);
    const on = this.occupied();
    const same = on.filter(({ task }) => task.job === job);
    if (same.some(({ task }) => task.index === index)) this.broken.push(`ran_twice ${job.id}/${index}`);
    if (job.oneZone && same.some((other) => other.machine.zone !== machine.zone))
      this.broken.push(`wrong_place ${job.id}/${index}`);
    if (machine.spot && job.body['agistment'] !== true)
      this.broken.push(`wrong_place ${job.id}/${index} on spot`);
    for (const before of job.follows ?? [])
      if (!this.allDone(before)) this.broken.push(`too_early ${job.id}/${index} before ${before.id}`);
    const used = on
      .filter(({ task }) => task.job.team === job.team)
      .reduce((sum, { task }) => sum + task.job.gpus, job.gpus);
    if (used > (this.limits.get(job.team) ?? 0)) this.broken.push(`quota ${job.team} ${used}`);
    if (job.cancelledAt !== null && Date.now() - job.cancelledAt > this.cancelMs)
      this.broken.push(`ran_cancelled ${job.id}/${index}`);
  }

  step(): void {
    for (const machine of this.machines.values()) machine.step();
    for (const { task } of this.occupied()) {
      if (task.job.cancelledAt !== null && Date.now() - task.job.cancelledAt > this.cancelMs) {
        this.broken.push(`ran_cancelled ${task.job.id}/${task.index}`);
      }
    }
  }
}

import { mock } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import type { compose } from '../controller/compose.js';
import { CANCEL_MS, Cluster, jobOf, LEASE_MS, NODES, REPORT_MS, STEP_MS, tick } from './cluster.js';
import { SeededRandom } from './seeded-random.js';
import { SimulatedEnvironment } from './simulated-environment.js';
import type { StandInJob } from './worker-stand-in.js';

/** A drawn day of users, controllers and troubles, from one seed, with the rules checked as it goes. */
export interface Scenario {
  readonly seed: number;
  /** s from the begin, and what happens then. */
  readonly faults: readonly (readonly [number, (day: ScenarioRun) => void])[];
  /** Probability that a message gets lost. */
  readonly loss?: number;
  readonly jobs?: number;
  /** s between submissions. */
  readonly everyS?: number;
  /** s that a task runs, at least and at most. */
  readonly runS?: readonly [number, number];
  /** Tasks of an array. */
  readonly tasks?: number;
  /** Share of the jobs that are called off at the moment when their last task ends. */
  readonly cancelAtEnd?: number;
  /** Arrays of two or three tasks, of which the later ones run far longer. */
  readonly apart?: boolean;
  /** The version that all processes run at the begin, until `upgrade`. */
  readonly production?: typeof compose;
  /** s from the begin: no job that follows others is submitted before. */
  readonly pipelinesFromS?: number;
  /** Pipelines of five jobs each, across teams; some of their last jobs come when the others are over. */
  readonly pipelines?: number;
}

/** ms: after this without an answer about a job, once troubles are over, it counts as forgotten. */
const FORGOTTEN_MS = 75_000;
/** ms: once troubles are over no job waits longer where there is room. */
const WAITING_MS = 90_000;
const LIMITS = new Map([
  ['red', 24],
  ['blue', 16],
]);

/** One day against the stand-ins. */
export class ScenarioRun {
  readonly random: SeededRandom;
  readonly world: SimulatedEnvironment;
  readonly cluster: Cluster;
  readonly jobs: StandInJob[] = [];
  private readonly answeredAt = new Map<string, number>();
  private readonly waitingSince = new Map<string, number>();
  private readonly cancelling = new Set<string>();
  private readonly ended = new Set<string>();
  private calm = Number.POSITIVE_INFINITY;
  private over = false;

  constructor(private readonly day: Scenario) {
    this.random = new SeededRandom(day.seed);
    this.world = new SimulatedEnvironment(
      NODES,
      new SeededRandom(day.seed + 1_000),
      LEASE_MS,
      REPORT_MS,
      LIMITS,
      CANCEL_MS,
    );
    this.world.loss = day.loss ?? 0;
    this.cluster = new Cluster(this.world);
  }

  /** The node that holds the share with this number, and so `L` for the one that leads. */
  holder(claimName: string): string {
    const claim = this.world.state.value(`w/c/${claimName}`) as { n: string } | undefined;
    return claim?.n ?? 'n0';
  }
  /** The holder of the share in which most tasks run. */
  busiest(): string {
    const count = (claimName: string): number => this.world.state.keys(`r/${claimName}/`).length;
    return this.holder(['0', '1', '2'].sort((a, b) => count(b) - count(a))[0] ?? '0');
  }
  /** The node's process ends and comes back with this version. */
  upgrade(node: string): void {
    this.cluster.down(node);
    this.cluster.versions.delete(node);
    this.cluster.up(node);
  }
  others(node: string): string[] {
    return NODES.filter((other) => other !== node);
  }
  /** Machines with tasks, the fullest first. */
  working(): string[] {
    return [...this.world.machines.values()]
      .filter((machine) => !machine.dead && machine.tasks.size > 0)
      .sort((a, b) => b.tasks.size - a.tasks.size)
      .map((machine) => machine.id);
  }
  /**
   * Cuts a node from the state service and the other nodes, not from workers and users; mends with `false`.
   */
  isolate(node: string, on: boolean): void {
    this.world.sever(node, on ? ['state', ...this.others(node).map((other) => `mesh-${other}`)] : []);
  }

  private ask(method: string, path: string, body?: unknown): Promise<CallOutcome> {
    return this.world.call('user', NODES[this.random.below(3)] ?? 'n0', method, path, body, 2_000);
  }
  /** Asks one node something; what it answers is handed on with the time that it took (ms). */
  askNode(
    node: string,
    method: string,
    path: string,
    body: unknown,
    then: (status: number, said: unknown, tookMs: number) => void,
  ): void {
    const from = Date.now();
    void this.world.call('user', node, method, path, body, 5_000).then((answer) => {
      if (answer._tag === 'response') then(answer.status, answer.body, Date.now() - from);
    });
  }
  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** All jobs that this one needs, directly or through others. */
  private before(job: StandInJob): readonly StandInJob[] {
    const found = new Set<StandInJob>();
    const add = (other: StandInJob): void => {
      for (const dep of other.follows ?? []) {
        if (found.has(dep)) continue;
        found.add(dep);
        add(dep);
      }
    };
    add(job);
    return [...found];
  }

  private noteState(job: StandInJob, answer: CallOutcome): void {
    if (answer._tag !== 'response') return;
    if (answer.status === 404) this.world.broken.push(`forgotten ${job.id}: 404`);
    if (answer.status === 400 || answer.status === 422)
      this.world.broken.push(`forgotten ${job.id}: ${answer.status}`);
    if (answer.status !== 200) return;
    this.answeredAt.set(job.id, Date.now());
    const { status } = answer.body as { status: string };
    if (status === 'done' && !this.world.allDone(job)) this.world.broken.push(`not_done ${job.id}`);
    const before = this.before(job);
    if (status === 'withdrawn' && ![job, ...before].some((other) => this.cancelling.has(other.id)))
      this.world.broken.push(`went_back ${job.id} withdrawn unasked`);
    if (job.cancelledAt !== null && status !== 'withdrawn')
      this.world.broken.push(`went_back ${job.id} ${status} after withdrawn`);
    if (job.doneTold && job.cancelledAt === null && status !== 'done')
      this.world.broken.push(`went_back ${job.id} ${status} after done`);
    if (status === 'pending' || status === 'running') {
      const told = before.flatMap((other) => other.cancelledAt ?? []);
      if (told.some((since) => Date.now() - since > CANCEL_MS))
        this.world.broken.push(`orphaned ${job.id} ${status}`);
    }
    if (status === 'withdrawn') job.cancelledAt ??= Date.now();
    if (status === 'done' || status === 'withdrawn') job.doneTold = true;
  }

  /** A user calls the job off, and asks until he is answered. */
  async cancel(job: StandInJob): Promise<void> {
    if (this.cancelling.has(job.id)) return;
    this.cancelling.add(job.id);
    while (!this.over && !job.doneTold) {
      this.noteState(job, await this.ask('POST', `/v2/runs/${job.id}/abort`));
      await this.sleep(1_000);
    }
  }
  /** Calls off so many jobs that run now. */
  cancelRunning(count: number): void {
    const running = new Set(
      [...this.world.machines.values()].flatMap((machine) =>
        [...machine.tasks.values()].filter((task) => task.state === 'running').map((task) => task.job),
      ),
    );
    for (const job of [...running].filter((job) => !job.doneTold).slice(0, count)) void this.cancel(job);
  }
  /** Calls off one job, not the last, of so many pipelines. */
  cancelPipelines(count: number): void {
    const open = this.jobs.filter(
      (job) => job.accepted && !job.doneTold && this.jobs.some((other) => other.follows?.includes(job)),
    );
    for (let k = 0; k < count && open.length > 0; k += 1) {
      const [job] = open.splice(this.random.below(open.length), 1);
      if (job) void this.cancel(job);
    }
  }
  /** The same for all jobs with a task on one of these machines. */
  cancelOn(ids: readonly string[]): void {
    const jobs = new Set(
      ids.flatMap((id) => [...(this.world.machines.get(id)?.tasks.values() ?? [])].map((task) => task.job)),
    );
    for (const job of jobs) void this.cancel(job);
  }

  /** Nothing new is asked of an earlier version, which would take it and understand half of it. */
  private submit(job: StandInJob): Promise<CallOutcome> {
    const nodes = NODES.filter((node) => job.follows === undefined || !this.cluster.versions.has(node));
    const node = nodes[this.random.below(Math.max(1, nodes.length))];
    if (node === undefined) return Promise.resolve({ _tag: 'noResponse', why: 'no node of this version' });
    return this.world.call('user', node, 'POST', '/v2/runs', job.body, 2_000);
  }

  private async user(job: StandInJob, late = false): Promise<void> {
    this.world.jobs.set(job.id, job);
    const needed = (): boolean => (job.follows ?? []).every((dep) => dep.accepted && (!late || dep.doneTold));
    while (!needed() && !this.over) await this.sleep(500);
    for (;;) {
      const answer = await this.submit(job);
      if (this.over) return;
      if (answer._tag === 'response' && (answer.status === 201 || answer.status === 200)) break;
      if (answer._tag === 'response' && answer.status < 500)
        this.world.broken.push(`refused ${job.id} ${answer.status}`);
      await this.sleep(1_000);
    }
    job.accepted = true;
    this.answeredAt.set(job.id, Date.now());
    // One ask more after the end: an answer must not go back.
    for (let after = 0; after < 2 && !this.over;) {
      const repeat = this.random.chance(0.1);
      const answer = repeat ? await this.submit(job) : await this.ask('GET', `/v2/runs/${job.id}`);
      this.noteState(job, answer);
      if (job.doneTold) after += 1;
      await this.sleep(2_000);
    }
  }

  private draw(n: number): StandInJob {
    const [least, most] = this.day.runS ?? [8, 30];
    const runMs = (least + this.random.below(most - least + 1)) * 1_000;
    if (this.day.apart === true) return { ...jobOf(n, { heads: 2 + (n % 2) }, runMs), apartMs: 25_000 };
    switch (n % 4) {
      case 1:
        return jobOf(
          n,
          { shape: 'group', heads: 2, accelerators: 8, vcpus: 60, together: true, owner: 'red' },
          runMs,
        );
      case 3:
        return jobOf(n, { owner: 'blue', heads: this.day.tasks ?? 7, agistment: true }, runMs);
      case 2:
        return jobOf(n, { heads: 2 + (n % 2), together: true }, runMs);
      default:
        return jobOf(n, { heads: 1 + (n % 5) }, runMs);
    }
  }

  /**
   * A pipeline: one job, two that follow it, a gang of the other team that follows both, and an urgent one at
   * the end.
   */
  private pipeline(n: number): readonly StandInJob[] {
    const stage = (k: number, over: Partial<Record<string, unknown>>, follows: readonly StandInJob[]) => ({
      ...jobOf(
        1_000 + n * 10 + k,
        { ...over, follows: follows.map((job) => job.id) },
        (3 + this.random.below(8)) * 1_000,
      ),
      follows,
    });
    const first = stage(0, { heads: 2, urgency: 'best_effort', agistment: true }, []);
    const left = stage(1, { heads: 3, urgency: 'best_effort' }, [first]);
    const right = stage(2, { heads: 2, owner: 'blue', urgency: 'best_effort' }, [first]);
    const merge = stage(3, { shape: 'group', heads: 2, owner: 'blue', together: true }, [left, right]);
    const last = stage(4, { heads: 2, urgency: 'urgent', dueS: 60 }, [merge]);
    return [first, left, right, merge, last];
  }

  /** Room for a waiting job on machines that are up and reached, with its team under its limit. */
  private hasRoom(job: StandInJob): boolean {
    const used = (gpus: number, task: { job: StandInJob; state: string }): number =>
      task.state === 'exited' ? gpus : gpus + task.job.gpus;
    const machines = [...this.world.machines.values()].filter(
      (machine) =>
        !machine.dead && !machine.cut && !machine.hung && (!machine.spot || job.body['agistment'] === true),
    );
    const wanted = job.gang ? job.tasks : 1;
    const team = [...this.world.machines.values()]
      .flatMap((machine) => [...machine.tasks.values()])
      .filter((task) => task.job.team === job.team)
      .reduce(used, 0);
    if (team + wanted * job.gpus > (LIMITS.get(job.team) ?? 0)) return false;
    const slots = new Map<string, number>();
    for (const machine of machines) {
      const zone = job.oneZone ? machine.zone : '';
      const free = 8 - [...machine.tasks.values()].reduce(used, 0);
      slots.set(zone, (slots.get(zone) ?? 0) + Math.floor(free / job.gpus));
    }
    return [...slots.values()].some((count) => count >= wanted);
  }

  /** Users who call a job off at the very moment of its end. */
  private cancelEnding(): void {
    for (const job of this.jobs) {
      if (this.cancelling.has(job.id) || this.ended.has(job.id) || !this.world.allDone(job)) continue;
      this.ended.add(job.id);
      if (this.random.chance(this.day.cancelAtEnd ?? 0)) void this.cancel(job);
    }
  }

  private check(): void {
    const now = Date.now();
    if (now < this.calm) return;
    for (const job of this.jobs) {
      if (!job.accepted || job.doneTold) continue;
      if (now - Math.max(this.calm, this.answeredAt.get(job.id) ?? 0) > FORGOTTEN_MS)
        this.world.broken.push(`forgotten ${job.id}: no answer`);
      const begun = [...this.world.machines.values()].some((machine) =>
        [...machine.tasks.values()].some((task) => task.job === job),
      );
      const waits = (job.follows ?? []).some((dep) => !this.world.allDone(dep));
      if (begun || waits || this.cancelling.has(job.id) || this.world.allDone(job) || !this.hasRoom(job)) {
        this.waitingSince.delete(job.id);
        continue;
      }
      const since = this.waitingSince.get(job.id) ?? now;
      this.waitingSince.set(job.id, since);
      if (now - since > WAITING_MS) this.world.broken.push(`waited ${job.id} with room`);
    }
  }

  /** Draws all jobs and pipelines, and plans when each is submitted. */
  private submitAll(): void {
    const count = this.day.jobs ?? 14;
    for (let n = 0; n < count; n += 1) {
      const job = this.draw(n);
      this.jobs.push(job);
      setTimeout(() => void this.user(job), 3_000 + n * (this.day.everyS ?? 4) * 1_000);
    }
    for (let n = 0; n < (this.day.pipelines ?? 0); n += 1) {
      this.pipeline(n).forEach((job, k) => {
        this.jobs.push(job);
        const late = k === 4 && n % 3 === 2;
        setTimeout(
          () => void this.user(job, late),
          (this.day.pipelinesFromS ?? 6) * 1_000 + n * (this.day.everyS ?? 4) * 2_000,
        );
      });
    }
  }

  /** Returns the rules that were broken. */
  async run(): Promise<readonly string[]> {
    const { day, world, cluster } = this;
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
    try {
      const begin = Date.now();
      if (day.production) for (const node of NODES) cluster.versions.set(node, day.production);
      NODES.forEach((node) => cluster.up(node));
      for (let k = 0; k < 4; k += 1) world.boot(k % 2 === 0 ? 'x' : 'y', false, 100);
      this.submitAll();
      const faults = [...day.faults].sort((a, b) => a[0] - b[0]);
      this.calm = begin + (faults.at(-1)?.[0] ?? 0) * 1_000 + 1_000;
      const end = begin + 700_000;
      let nextCheck = begin;
      let doneAt = 0;
      while (Date.now() < end && world.broken.length === 0) {
        mock.timers.tick(STEP_MS);
        await tick();
        world.step();
        if (day.cancelAtEnd !== undefined) this.cancelEnding();
        while (faults[0] && Date.now() - begin >= faults[0][0] * 1_000) faults.shift()?.[1](this);
        if (Date.now() >= nextCheck) {
          nextCheck += 1_000;
          this.check();
        }
        if (faults.length === 0 && this.jobs.every((job) => job.doneTold)) {
          if (doneAt === 0) doneAt = Date.now();
          // What was cancelled must be gone in time, and what was told must stay.
          if (Date.now() - doneAt > CANCEL_MS + 5_000) break;
        }
      }
      world.broken.push(...world.state.tooLarge.map((what) => `400 for size: ${what}`));
      for (const job of this.jobs)
        if (!job.doneTold && world.broken.length === 0) world.broken.push(`never over: ${job.id}`);
      return [...new Set(world.broken)];
    } finally {
      this.over = true;
      NODES.forEach((node) => cluster.down(node));
      mock.timers.reset();
    }
  }
}

/** Plays a day; returns the rules that were broken. */
export const runScenario = (day: Scenario): Promise<readonly string[]> => new ScenarioRun(day).run();

/** Runs a scenario of users, controllers and faults on a virtual clock, and checks what users are told. */
import { mock } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import type { compose } from '../controller/compose.js';
import {
  CANCEL_MS,
  Cluster,
  createStandInJob,
  LEASE_MS,
  NODES,
  HEARTBEAT_INTERVAL_MS,
  STEP_MS,
  runDueCallbacks,
} from './cluster.js';
import { SeededRandom } from './seeded-random.js';
import { SimulatedEnvironment } from './simulated-environment.js';
import type { StandInJob } from './worker-stand-in.js';

/** A random run of users, controllers and faults, drawn from one seed, and checked against the rules. */
export interface Scenario {
  readonly seed: number;
  /** Each fault action with its time, in s from the start of the run. */
  readonly faults: readonly (readonly [number, (run: ScenarioRun) => void])[];
  /** Probability that a request is delivered after its timeout, and that an answer is lost. */
  readonly lossProbability?: number;
  /** Number of single jobs, besides those of the pipelines. */
  readonly jobs?: number;
  /** s between the submissions of two jobs; pipelines are submitted at twice this interval. */
  readonly submissionIntervalS?: number;
  /** Shortest and longest duration of a task, in s. */
  readonly taskDurationRangeS?: readonly [number, number];
  /** Number of tasks of each array of team blue. */
  readonly tasks?: number;
  /** Probability that a user cancels a job at the moment when its last task ends. */
  readonly cancelAtEndProbability?: number;
  /**
   * Whether all jobs are arrays of two or three tasks, each of which runs 25 s longer than the one before.
   */
  readonly staggeredTaskEnds?: boolean;
  /** The version that every controller runs until `upgrade`. */
  readonly production?: typeof compose;
  /** Time of the first submission of a pipeline, in s from the start of the run. */
  readonly pipelinesFromS?: number;
  /**
   * Number of pipelines, each of five jobs of both teams. In every third pipeline the last job is submitted
   * only after its dependencies have a final status.
   */
  readonly pipelines?: number;
}

/** Time in ms without an answer about a job, after the last fault, from which the job counts as forgotten. */
const MAX_UNANSWERED_MS = 75_000;
/** Longest time in ms that a job may wait after the last fault while there is capacity for it. */
const MAX_WAITING_MS = 90_000;
/** GPU limit of each team. */
const LIMITS = new Map([
  ['red', 24],
  ['blue', 16],
]);

/** One run of a scenario against the stand-ins. */
export class ScenarioRun {
  readonly random: SeededRandom;
  readonly environment: SimulatedEnvironment;
  readonly cluster: Cluster;
  readonly jobs: StandInJob[] = [];
  /** Time of the last answer about each job, in ms since the epoch. */
  private readonly answeredAt = new Map<string, number>();
  /** Since when each job waits although there is capacity for it, in ms since the epoch. */
  private readonly waitingSince = new Map<string, number>();
  private readonly cancelling = new Set<string>();
  /** Jobs whose end `cancelEndingJobs` has seen. */
  private readonly ended = new Set<string>();
  /** 1 s after the last fault, in ms since the epoch. */
  private faultsEndAt = Number.POSITIVE_INFINITY;
  private isFinished = false;

  constructor(private readonly scenario: Scenario) {
    this.random = new SeededRandom(scenario.seed);
    this.environment = new SimulatedEnvironment(
      NODES,
      new SeededRandom(scenario.seed + 1_000),
      LEASE_MS,
      HEARTBEAT_INTERVAL_MS,
      LIMITS,
      CANCEL_MS,
    );
    this.environment.lossProbability = scenario.lossProbability ?? 0;
    this.cluster = new Cluster(this.environment);
  }

  /** The node that holds this claim (the number of a shard, or `L` for the leader); `n0` if none does. */
  holder(claimName: string): string {
    const claim = this.environment.state.value(`w/c/${claimName}`) as { n: string } | undefined;
    return claim?.n ?? 'n0';
  }
  /** The holder of the shard with the most run records. */
  busiestNode(): string {
    const count = (claimName: string): number => this.environment.state.keys(`r/${claimName}/`).length;
    return this.holder(['0', '1', '2'].sort((a, b) => count(b) - count(a))[0] ?? '0');
  }
  /** Restarts the node's controller with the present version. */
  upgrade(node: string): void {
    this.cluster.stop(node);
    this.cluster.versions.delete(node);
    this.cluster.start(node);
  }
  otherNodes(node: string): string[] {
    return NODES.filter((other) => other !== node);
  }
  /** Machines with tasks, ordered by descending number of tasks. */
  machinesWithTasks(): string[] {
    return [...this.environment.machines.values()]
      .filter((machine) => !machine.isTerminated && machine.tasks.size > 0)
      .sort((a, b) => b.tasks.size - a.tasks.size)
      .map((machine) => machine.id);
  }
  /**
   * Partitions a node from the key-value store and the other controllers, but not from workers and users;
   * `false` ends the partition.
   */
  isolate(node: string, on: boolean): void {
    this.environment.partition(
      node,
      on ? ['state', ...this.otherNodes(node).map((other) => `mesh-${other}`)] : [],
    );
  }

  private requestFromRandomNode(method: string, path: string, body?: unknown): Promise<CallOutcome> {
    return this.environment.call('user', NODES[this.random.below(3)] ?? 'n0', method, path, body, 2_000);
  }
  /** Sends a request to one node and calls `then` with its answer and the duration in ms. */
  requestFromNode(
    node: string,
    method: string,
    path: string,
    body: unknown,
    then: (status: number, body: unknown, durationMs: number) => void,
  ): void {
    const from = Date.now();
    void this.environment.call('user', node, method, path, body, 5_000).then((answer) => {
      if (answer._tag === 'response') then(answer.status, answer.body, Date.now() - from);
    });
  }
  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }

  /** All jobs on which this job depends, directly or through other jobs. */
  private transitiveDependencies(job: StandInJob): readonly StandInJob[] {
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

  /** Checks an answer about a job against what the job did and what earlier answers said. */
  private checkJobAnswer(job: StandInJob, answer: CallOutcome): void {
    if (answer._tag !== 'response') return;
    if (answer.status === 404) this.environment.violations.push(`forgotten ${job.id}: 404`);
    if (answer.status === 400 || answer.status === 422)
      this.environment.violations.push(`forgotten ${job.id}: ${answer.status}`);
    if (answer.status !== 200) return;
    this.answeredAt.set(job.id, Date.now());
    const { status } = answer.body as { status: string };
    if (status === 'done' && !this.environment.areAllTasksDone(job))
      this.environment.violations.push(`not_done ${job.id}`);
    const dependencies = this.transitiveDependencies(job);
    if (status === 'withdrawn' && ![job, ...dependencies].some((other) => this.cancelling.has(other.id)))
      this.environment.violations.push(`went_back ${job.id} withdrawn without a cancellation`);
    if (job.cancelledAt !== null && status !== 'withdrawn')
      this.environment.violations.push(`went_back ${job.id} ${status} after withdrawn`);
    if (job.isFinalStatusReported && job.cancelledAt === null && status !== 'done')
      this.environment.violations.push(`went_back ${job.id} ${status} after done`);
    if (status === 'pending' || status === 'running') {
      const cancelledAt = dependencies.flatMap((other) => other.cancelledAt ?? []);
      if (cancelledAt.some((since) => Date.now() - since > CANCEL_MS))
        this.environment.violations.push(`orphaned ${job.id} ${status}`);
    }
    if (status === 'withdrawn') job.cancelledAt ??= Date.now();
    if (status === 'done' || status === 'withdrawn') job.isFinalStatusReported = true;
  }

  /** Cancels the job as its user, and repeats the request until the job has a final status. */
  async cancel(job: StandInJob): Promise<void> {
    if (this.cancelling.has(job.id)) return;
    this.cancelling.add(job.id);
    while (!this.isFinished && !job.isFinalStatusReported) {
      this.checkJobAnswer(job, await this.requestFromRandomNode('POST', `/v2/runs/${job.id}/abort`));
      await this.sleep(1_000);
    }
  }
  /** Cancels `count` jobs that have a running task. */
  cancelRunning(count: number): void {
    const running = new Set(
      [...this.environment.machines.values()].flatMap((machine) =>
        [...machine.tasks.values()].filter((task) => task.state === 'running').map((task) => task.job),
      ),
    );
    for (const job of [...running].filter((job) => !job.isFinalStatusReported).slice(0, count))
      void this.cancel(job);
  }
  /** Cancels up to `count` random unfinished jobs on which another job depends. */
  cancelPipelines(count: number): void {
    const open = this.jobs.filter(
      (job) =>
        job.accepted && !job.isFinalStatusReported && this.jobs.some((other) => other.follows?.includes(job)),
    );
    for (let k = 0; k < count && open.length > 0; k += 1) {
      const [job] = open.splice(this.random.below(open.length), 1);
      if (job) void this.cancel(job);
    }
  }
  /** Cancels all jobs that have a task on one of these machines. */
  cancelOn(ids: readonly string[]): void {
    const jobs = new Set(
      ids.flatMap((id) =>
        [...(this.environment.machines.get(id)?.tasks.values() ?? [])].map((task) => task.job),
      ),
    );
    for (const job of jobs) void this.cancel(job);
  }

  /**
   * Submits the job to a random node. A job with dependencies goes only to nodes that run the present
   * version: an earlier version would accept the job and ignore its dependencies.
   */
  private submit(job: StandInJob): Promise<CallOutcome> {
    const nodes = NODES.filter((node) => job.follows === undefined || !this.cluster.versions.has(node));
    const node = nodes[this.random.below(Math.max(1, nodes.length))];
    if (node === undefined) return Promise.resolve({ _tag: 'noResponse', why: 'no node of this version' });
    return this.environment.call('user', node, 'POST', '/v2/runs', job.body, 2_000);
  }

  /** Submits the job until a controller accepts it, then asks for its status until the status is final. */
  private async simulateUser(job: StandInJob, afterDependencies = false): Promise<void> {
    this.environment.jobs.set(job.id, job);
    const canSubmit = (): boolean =>
      (job.follows ?? []).every((dep) => dep.accepted && (!afterDependencies || dep.isFinalStatusReported));
    while (!canSubmit() && !this.isFinished) await this.sleep(500);
    for (;;) {
      const answer = await this.submit(job);
      if (this.isFinished) return;
      if (answer._tag === 'response' && (answer.status === 201 || answer.status === 200)) break;
      if (answer._tag === 'response' && answer.status < 500)
        this.environment.violations.push(`refused ${job.id} ${answer.status}`);
      await this.sleep(1_000);
    }
    job.accepted = true;
    this.answeredAt.set(job.id, Date.now());
    // One more request after the first answer with a final status checks that the status does not change.
    for (let after = 0; after < 2 && !this.isFinished;) {
      const repeat = this.random.chance(0.1);
      const answer = repeat
        ? await this.submit(job)
        : await this.requestFromRandomNode('GET', `/v2/runs/${job.id}`);
      this.checkJobAnswer(job, answer);
      if (job.isFinalStatusReported) after += 1;
      await this.sleep(2_000);
    }
  }

  /** Draws the n-th single job: an array or a gang, of either team. */
  private drawJob(n: number): StandInJob {
    const [least, most] = this.scenario.taskDurationRangeS ?? [8, 30];
    const runMs = (least + this.random.below(most - least + 1)) * 1_000;
    if (this.scenario.staggeredTaskEnds === true)
      return { ...createStandInJob(n, { heads: 2 + (n % 2) }, runMs), taskStaggerMs: 25_000 };
    switch (n % 4) {
      case 1:
        return createStandInJob(
          n,
          { shape: 'group', heads: 2, accelerators: 8, vcpus: 60, together: true, owner: 'red' },
          runMs,
        );
      case 3:
        return createStandInJob(
          n,
          { owner: 'blue', heads: this.scenario.tasks ?? 7, agistment: true },
          runMs,
        );
      case 2:
        return createStandInJob(n, { heads: 2 + (n % 2), together: true }, runMs);
      default:
        return createStandInJob(n, { heads: 1 + (n % 5) }, runMs);
    }
  }

  /**
   * Draws a pipeline: one job, two jobs that depend on it, a gang of the other team that depends on both, and
   * an urgent job that depends on the gang.
   */
  private drawPipeline(n: number): readonly StandInJob[] {
    const stage = (
      k: number,
      overrides: Partial<Record<string, unknown>>,
      follows: readonly StandInJob[],
    ) => ({
      ...createStandInJob(
        1_000 + n * 10 + k,
        { ...overrides, follows: follows.map((job) => job.id) },
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

  /** Whether reachable machines have capacity for a waiting job and its team stays within its GPU limit. */
  private hasRoom(job: StandInJob): boolean {
    const used = (gpus: number, task: { job: StandInJob; state: string }): number =>
      task.state === 'exited' ? gpus : gpus + task.job.gpus;
    const machines = [...this.environment.machines.values()].filter(
      (machine) =>
        !machine.isTerminated &&
        !machine.isPartitioned &&
        !machine.isHung &&
        (!machine.spot || job.body['agistment'] === true),
    );
    const wanted = job.gang ? job.tasks : 1;
    const team = [...this.environment.machines.values()]
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

  /** Cancels jobs, with the probability of the scenario, in the step in which their last task ends. */
  private cancelEndingJobs(): void {
    for (const job of this.jobs) {
      if (this.cancelling.has(job.id) || this.ended.has(job.id) || !this.environment.areAllTasksDone(job))
        continue;
      this.ended.add(job.id);
      if (this.random.chance(this.scenario.cancelAtEndProbability ?? 0)) void this.cancel(job);
    }
  }

  /** After the last fault, checks that users get answers and that no job waits while there is capacity. */
  private checkWaitingJobs(): void {
    const now = Date.now();
    if (now < this.faultsEndAt) return;
    for (const job of this.jobs) {
      if (!job.accepted || job.isFinalStatusReported) continue;
      if (now - Math.max(this.faultsEndAt, this.answeredAt.get(job.id) ?? 0) > MAX_UNANSWERED_MS)
        this.environment.violations.push(`forgotten ${job.id}: no answer to status requests`);
      const hasTask = [...this.environment.machines.values()].some((machine) =>
        [...machine.tasks.values()].some((task) => task.job === job),
      );
      const isBlocked = (job.follows ?? []).some((dep) => !this.environment.areAllTasksDone(dep));
      if (
        hasTask ||
        isBlocked ||
        this.cancelling.has(job.id) ||
        this.environment.areAllTasksDone(job) ||
        !this.hasRoom(job)
      ) {
        this.waitingSince.delete(job.id);
        continue;
      }
      const since = this.waitingSince.get(job.id) ?? now;
      this.waitingSince.set(job.id, since);
      if (now - since > MAX_WAITING_MS)
        this.environment.violations.push(`waited ${job.id} although capacity is free`);
    }
  }

  /** Draws all jobs and pipelines and schedules their submissions. */
  private scheduleSubmissions(): void {
    const count = this.scenario.jobs ?? 14;
    for (let n = 0; n < count; n += 1) {
      const job = this.drawJob(n);
      this.jobs.push(job);
      setTimeout(
        () => void this.simulateUser(job),
        3_000 + n * (this.scenario.submissionIntervalS ?? 4) * 1_000,
      );
    }
    for (let n = 0; n < (this.scenario.pipelines ?? 0); n += 1) {
      this.drawPipeline(n).forEach((job, k) => {
        this.jobs.push(job);
        const afterDependencies = k === 4 && n % 3 === 2;
        setTimeout(
          () => void this.simulateUser(job, afterDependencies),
          (this.scenario.pipelinesFromS ?? 6) * 1_000 + n * (this.scenario.submissionIntervalS ?? 4) * 2_000,
        );
      });
    }
  }

  /** Runs the scenario on a virtual clock; returns the violations of the rules. */
  async run(): Promise<readonly string[]> {
    const { scenario, environment, cluster } = this;
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_700_000_000_000 });
    try {
      const begin = Date.now();
      if (scenario.production) for (const node of NODES) cluster.versions.set(node, scenario.production);
      NODES.forEach((node) => cluster.start(node));
      for (let k = 0; k < 4; k += 1) environment.bootMachine(k % 2 === 0 ? 'x' : 'y', false, 100);
      this.scheduleSubmissions();
      const faults = [...scenario.faults].sort((a, b) => a[0] - b[0]);
      this.faultsEndAt = begin + (faults.at(-1)?.[0] ?? 0) * 1_000 + 1_000;
      const end = begin + 700_000;
      let nextCheck = begin;
      let doneAt = 0;
      while (Date.now() < end && environment.violations.length === 0) {
        mock.timers.tick(STEP_MS);
        await runDueCallbacks();
        environment.step();
        if (scenario.cancelAtEndProbability !== undefined) this.cancelEndingJobs();
        while (faults[0] && Date.now() - begin >= faults[0][0] * 1_000) faults.shift()?.[1](this);
        if (Date.now() >= nextCheck) {
          nextCheck += 1_000;
          this.checkWaitingJobs();
        }
        if (faults.length === 0 && this.jobs.every((job) => job.isFinalStatusReported)) {
          if (doneAt === 0) doneAt = Date.now();
          // Cancelled tasks must end within the cancellation limit; reported final statuses must not change.
          if (Date.now() - doneAt > CANCEL_MS + 5_000) break;
        }
      }
      environment.violations.push(
        ...environment.state.oversizedTransactions.map((what) => `400 for size: ${what}`),
      );
      for (const job of this.jobs)
        if (!job.isFinalStatusReported && environment.violations.length === 0)
          environment.violations.push(`no final status: ${job.id}`);
      return [...new Set(environment.violations)];
    } finally {
      this.isFinished = true;
      NODES.forEach((node) => cluster.stop(node));
      mock.timers.reset();
    }
  }
}

/** Runs a scenario; returns the violations of the rules. */
export const runScenario = (scenario: Scenario): Promise<readonly string[]> =>
  new ScenarioRun(scenario).run();

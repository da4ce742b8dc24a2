/**
 * The stand-ins together: cloud, network, machines and jobs around the controllers, on a virtual clock and
 * from one seed. Checks the rules for the starts of tasks, and for tasks that run on after a cancellation.
 */
import type { CallOutcome } from '../http/model.js';

import { SeededRandom } from './seeded-random.js';
import { KeyValueStoreStandIn, copy, reply, type WireRecord } from './key-value-store-stand-in.js';
import { WorkerStandIn, type TaskOnMachine, type StandInJob } from './worker-stand-in.js';
/** The simulated network and cloud, with the jobs, the machines and the violations of the rules so far. */
export class SimulatedEnvironment {
  readonly state = new KeyValueStoreStandIn();
  readonly machines = new Map<string, WorkerStandIn>();
  readonly jobs = new Map<string, StandInJob>();
  readonly violations: string[] = [];
  /** Every start of a task, as `job id/index@machine id`. */
  readonly starts: string[] = [];
  /** Finished tasks, as `job id/index`. */
  private readonly finished = new Set<string>();
  /** Machine ids that answered each provisioning request, by the name of the request. */
  private readonly machinesByRequestName = new Map<string, string[]>();
  private readonly handlers = new Map<
    string,
    (method: string, path: string, body: unknown) => Promise<CallOutcome>
  >();
  private createdMachines = 0;
  /** Probability that a request is delivered after its timeout, and that an answer is lost. */
  lossProbability = 0;
  /** Probability that a transaction with changes gets no answer and is executed 2 to 12 s later. */
  lateWriteProbability = 0;
  /** Probability that a worker heartbeat is delivered once more, after 2 s plus up to two leases. */
  lateHeartbeatProbability = 0;
  /** Longest random delay in ms of a request to the key-value store; watches are not delayed. */
  maxStoreDelayMs = 0;
  /** Probability that an executed request is delivered once more, after one of `duplicateDelaysMs`. */
  duplicateProbability = 0;
  duplicateDelaysMs: readonly number[] = [1_000];
  /** Delays in ms after which each direct command that a worker executed is delivered to it again. */
  repeatedCommandDelaysMs: readonly number[] = [];
  /** Number of machines that the cloud can provide in each zone. */
  machinesPerZone = 6;
  /** For each name, the names that it can't reach and since when (ms since the epoch). */
  private readonly partitions = new Map<string, { others: readonly string[]; at: number }>();

  constructor(
    readonly nodes: readonly string[],
    readonly random: SeededRandom,
    readonly leaseMs: number,
    readonly heartbeatIntervalMs: number,
    readonly limits: ReadonlyMap<string, number>,
    readonly cancelMs: number,
  ) {}

  attach(name: string, handler: (method: string, path: string, body: unknown) => Promise<CallOutcome>): void {
    this.handlers.set(name, handler);
  }
  /**
   * Blocks requests from `name` to `others`, and requests between controllers in both directions; an empty
   * list ends the partition.
   */
  partition(name: string, others: readonly string[]): void {
    this.partitions.set(name, { others, at: Date.now() });
  }
  /**
   * Checks that a node that is partitioned from the key-value store and its peers commands workers no longer
   * than its claims certainly last.
   */
  private checkCommandDuringPartition(node: string): void {
    const partition = this.partitions.get(node);
    if (!partition?.others.includes('state') || Date.now() - partition.at < 6_000) return;
    this.violations.push(
      `${node} commands workers ${Math.round((Date.now() - partition.at) / 1000)} s after it lost the key-value store`,
    );
  }
  private isPartitioned(from: string, to: string): boolean {
    const nodeName = (end: string): string => end.replace('mesh-', '');
    return (
      (this.partitions.get(from)?.others.includes(to) ?? false) ||
      (to.startsWith('mesh-') &&
        (this.partitions.get(nodeName(to))?.others.includes(`mesh-${from}`) ?? false))
    );
  }
  private readonly holds = new Map<string, { others: readonly string[]; queue: (() => void)[] }>();
  /**
   * Queues all requests between `name` and `others`; an empty list delivers the queued requests in their
   * order.
   */
  holdMessages(name: string, others: readonly string[]): void {
    const before = this.holds.get(name);
    if (others.length > 0) {
      this.holds.set(name, { others, queue: before?.queue ?? [] });
      return;
    }
    this.holds.delete(name);
    for (const deliver of before?.queue ?? []) deliver();
  }
  private holdQueueBetween(from: string, to: string): (() => void)[] | null {
    const nodeName = (end: string): string => end.replace('mesh-', '');
    const between = (a: string, b: string): (() => void)[] | null => {
      const held = this.holds.get(nodeName(a));
      return held?.others.includes(nodeName(b)) ? held.queue : null;
    };
    return between(from, to) ?? between(to, from);
  }
  detach(name: string): void {
    this.handlers.delete(name);
  }

  private deliver(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
  ): Promise<CallOutcome> {
    const machine = this.machines.get(to);
    if (machine) {
      if (machine.isTerminated || machine.isPartitioned || machine.deaf) return new Promise(() => undefined);
      if (machine.isHung)
        return machine.waitUntilResumed().then(() => this.deliver(from, to, method, path, body));
      machine.expireLease();
      const request = body as { crook: number; stint: number; calls: WireRecord[] };
      const ok = request.stint === machine.agentEpoch && machine.execute(request.crook, request.calls);
      return Promise.resolve(reply(ok ? 200 : 409, machine.nextHeartbeat()));
    }
    const sender = this.machines.get(from);
    if (sender?.isPartitioned || sender?.mute) return new Promise(() => undefined);
    if (to === 'state') return this.state.handle(from, method, path, body);
    if (to === 'cloud') return Promise.resolve(this.cloud(method, path, body));
    return (
      this.handlers.get(to)?.(method, path, body) ?? Promise.resolve({ _tag: 'noResponse', why: 'refused' })
    );
  }

  call(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<CallOutcome> {
    const sent = copy(body);
    if (this.isPartitioned(from, to)) return Promise.resolve({ _tag: 'noResponse', why: 'refused' });
    return new Promise((resolve) => {
      setTimeout(() => resolve({ _tag: 'noResponse', why: 'timeout' }), timeoutMs);
      const duplicateAfterMs = this.random.chance(this.duplicateProbability)
        ? (this.duplicateDelaysMs[this.random.below(this.duplicateDelaysMs.length)] ?? 1_000)
        : null;
      /**
       * Delivers the duplicate. A request to the key-value store that was answered 503 or 429 was not
       * executed, and a copy of it must not be executed later.
       */
      const deliverDuplicate = (answer: CallOutcome): void => {
        const refused = answer._tag === 'response' && (answer.status === 503 || answer.status === 429);
        if (duplicateAfterMs === null || (refused && to === 'state')) return;
        setTimeout(() => void this.deliver(from, to, method, path, copy(sent)), duplicateAfterMs);
      };
      if (path === '/hello' && this.random.chance(this.lateHeartbeatProbability))
        setTimeout(
          () => void this.deliver(from, to, method, path, copy(sent)),
          2_000 + this.random.below(2 * this.leaseMs),
        );
      if (path === '/txn' && this.random.chance(this.lateWriteProbability)) {
        if ((sent as { writes: unknown[] }).writes.length > 0) {
          setTimeout(
            () => void this.deliver(from, to, method, path, sent),
            2_000 + this.random.below(10_000),
          );
          return;
        }
      }
      const holdQueue = this.holdQueueBetween(from, to);
      if (holdQueue) {
        holdQueue.push(() => void this.deliver(from, to, method, path, sent));
        return;
      }
      const isLate = this.random.chance(this.lossProbability);
      const storeDelayMs =
        to === 'state' && !path.startsWith('/follow') ? this.random.below(this.maxStoreDelayMs + 1) : 0;
      const delay =
        storeDelayMs + (isLate ? timeoutMs + this.random.below(20_000) : 1 + this.random.below(10));
      setTimeout(() => {
        void this.deliver(from, to, method, path, sent).then((answer) => {
          deliverDuplicate(answer);
          if (path === '/commands') this.repeatCommand(from, to, sent, answer);
          if (path === '/hello' && answer._tag === 'response' && answer.status === 200)
            this.checkCommandDuringPartition(to);
          if (this.random.chance(this.lossProbability) || this.machines.get(from)?.deaf) return;
          setTimeout(() => resolve(copy(answer)), 1 + this.random.below(10));
        });
      }, delay);
    });
  }

  /** Delivers a direct command again, after each of `repeatedCommandDelaysMs`, if the worker executed it. */
  private repeatCommand(from: string, to: string, sent: unknown, answer: CallOutcome): void {
    if (answer._tag !== 'response' || answer.status !== 200) return;
    for (const delayMs of this.repeatedCommandDelaysMs)
      setTimeout(() => void this.deliver(from, to, 'POST', '/commands', copy(sent)), delayMs);
  }

  private cloud(method: string, path: string, body: unknown): CallOutcome {
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
      const request = body as { hire: string; paddock: string; agistment: boolean; howMany: number };
      const known = this.machinesByRequestName.get(request.hire);
      if (known) return reply(200, { drovers: known });
      const ids: string[] = [];
      const inZone = [...this.machines.values()].filter(
        (machine) => !machine.isTerminated && machine.zone === request.paddock,
      ).length;
      for (let k = 0; k < Math.min(request.howMany, this.machinesPerZone - inZone); k += 1)
        ids.push(this.bootMachine(request.paddock, request.agistment, 5_000));
      if (ids.length === 0) return reply(503, { error: 'no capacity' });
      this.machinesByRequestName.set(request.hire, ids);
      return reply(200, { drovers: ids });
    }
    if (path === '/machines/release') {
      for (const id of (body as { drovers: string[] }).drovers) this.terminateMachine(id);
      return reply(200);
    }
    const drovers = [...this.machines.values()]
      .filter((machine) => !machine.isTerminated)
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

  bootMachine(zone: string, spot: boolean, afterMs: number): string {
    const id = `i-${String(this.createdMachines).padStart(6, '0')}`;
    this.createdMachines += 1;
    const machine = new WorkerStandIn(id, zone, spot, this);
    this.machines.set(id, machine);
    setTimeout(() => void machine.runHeartbeatLoop(), afterMs);
    return id;
  }
  terminateMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    machine.isTerminated = true;
    machine.tasks.clear();
  }

  private activeTasks(): { machine: WorkerStandIn; task: TaskOnMachine }[] {
    // A hung machine may resume its tasks within its lease; once the lease has expired it drops them.
    const candidates = [...this.machines.values()].filter(
      (machine) => !(machine.isHung && machine.leaseOver),
    );
    return candidates.flatMap((machine) =>
      [...machine.tasks.values()]
        .filter((task) => task.state === 'gathering' || task.state === 'running')
        .map((task) => ({ machine, task })),
    );
  }
  isGangComplete(job: StandInJob, attempt: number): boolean {
    const present = this.activeTasks().filter(
      ({ task }) => task.job === job && task.attempt === attempt,
    ).length;
    return present === job.tasks || this.finished.has(`${job.id}/0`);
  }
  isTaskDone(job: StandInJob, index: number): boolean {
    return this.finished.has(`${job.id}/${index}`);
  }
  onTaskDone(job: StandInJob, index: number): void {
    if (!job.gang) this.finished.add(`${job.id}/${index}`);
    else for (let k = 0; k < job.tasks; k += 1) this.finished.add(`${job.id}/${k}`);
  }
  areAllTasksDone(job: StandInJob): boolean {
    return Array.from({ length: job.tasks }, (_, index) => index).every((index) =>
      this.isTaskDone(job, index),
    );
  }

  /** Checks the rules for the start of a task. */
  onTaskStart(machine: WorkerStandIn, job: StandInJob, index: number): void {
    this.starts.push(`${job.id}/${index}@${machine.id}`);
    const on = this.activeTasks();
    const same = on.filter(({ task }) => task.job === job);
    if (same.some(({ task }) => task.index === index)) this.violations.push(`ran_twice ${job.id}/${index}`);
    if (job.oneZone && same.some((other) => other.machine.zone !== machine.zone))
      this.violations.push(`wrong_place ${job.id}/${index}`);
    if (machine.spot && job.body['agistment'] !== true)
      this.violations.push(`wrong_place ${job.id}/${index} on spot`);
    for (const before of job.follows ?? [])
      if (!this.areAllTasksDone(before))
        this.violations.push(`too_early ${job.id}/${index} before ${before.id}`);
    const used = on
      .filter(({ task }) => task.job.team === job.team)
      .reduce((sum, { task }) => sum + task.job.gpus, job.gpus);
    if (used > (this.limits.get(job.team) ?? 0)) this.violations.push(`quota ${job.team} ${used}`);
    if (job.cancelledAt !== null && Date.now() - job.cancelledAt > this.cancelMs)
      this.violations.push(`ran_cancelled ${job.id}/${index}`);
  }

  step(): void {
    for (const machine of this.machines.values()) machine.step();
    for (const { task } of this.activeTasks()) {
      if (task.job.cancelledAt !== null && Date.now() - task.job.cancelledAt > this.cancelMs) {
        this.violations.push(`ran_cancelled ${task.job.id}/${task.index}`);
      }
    }
  }
}

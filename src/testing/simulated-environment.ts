/**
 * The stand-ins together: cloud, network, machines and jobs around the controllers, on a virtual clock and
 * from one seed. Checks the rules that concern starts as it goes.
 */
import type { CallOutcome } from '../http/model.js';

import { SeededRandom } from './seeded-random.js';
import { KeyValueStoreStandIn, copy, reply, type WireRecord } from './key-value-store-stand-in.js';
import { WorkerStandIn, type TaskOnMachine, type StandInJob } from './worker-stand-in.js';
/** The network, the cloud, and what the rules say. */
export class SimulatedEnvironment {
  readonly state = new KeyValueStoreStandIn();
  readonly machines = new Map<string, WorkerStandIn>();
  readonly jobs = new Map<string, StandInJob>();
  readonly violations: string[] = [];
  readonly starts: string[] = [];
  private readonly finished = new Set<string>();
  private readonly machinesByRequestName = new Map<string, string[]>();
  private readonly handlers = new Map<
    string,
    (method: string, path: string, body: unknown) => Promise<CallOutcome>
  >();
  private createdMachines = 0;
  /** Probability that a message, or its answer, gets lost, or is held and delivered late. */
  lossProbability = 0;
  /** Probability that a transaction with changes gets no answer and is carried out 2 to 12 s later. */
  lateWriteProbability = 0;
  /** Probability that a copy of a report comes again, from 2 s to two leases later. */
  lateHeartbeatProbability = 0;
  /** ms: the state service takes up to this long for an answer. */
  maxStoreDelayMs = 0;
  /**
   * Probability that a message that was carried out is delivered once more, after one of these times (ms).
   */
  duplicateProbability = 0;
  duplicateDelaysMs: readonly number[] = [1_000];
  /** Machines that the cloud has in each zone. */
  machinesPerZone = 6;
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
  /** From now on this end can't reach those, nor they it; an empty list mends all. */
  partition(name: string, others: readonly string[]): void {
    this.partitions.set(name, { others, at: Date.now() });
  }
  /** Without state service and peers a node may command for as long as its claims surely last, no longer. */
  private checkCommandDuringPartition(node: string): void {
    const cut = this.partitions.get(node);
    if (!cut?.others.includes('state') || Date.now() - cut.at < 6_000) return;
    this.violations.push(
      `${node} commands ${Math.round((Date.now() - cut.at) / 1000)} s after it lost the state`,
    );
  }
  private isPartitioned(from: string, to: string): boolean {
    const plain = (end: string): string => end.replace('mesh-', '');
    return (
      (this.partitions.get(from)?.others.includes(to) ?? false) ||
      (to.startsWith('mesh-') && (this.partitions.get(plain(to))?.others.includes(`mesh-${from}`) ?? false))
    );
  }
  private readonly holds = new Map<string, { others: readonly string[]; queue: (() => void)[] }>();
  /**
   * From now on what this end and those say to each other waits; an empty list delivers all of it, in order.
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
    const plain = (end: string): string => end.replace('mesh-', '');
    const between = (a: string, b: string): (() => void)[] | null => {
      const held = this.holds.get(plain(a));
      return held?.others.includes(plain(b)) ? held.queue : null;
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
      const raw = body as { crook: number; stint: number; calls: WireRecord[] };
      const ok = raw.stint === machine.agentEpoch && machine.execute(raw.crook, raw.calls);
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
      const again = this.random.chance(this.duplicateProbability)
        ? (this.duplicateDelaysMs[this.random.below(this.duplicateDelaysMs.length)] ?? 1_000)
        : null;
      /** What was answered 503 or 429 was not carried out, and never will be: of the rest a copy may come. */
      const repeat = (answer: CallOutcome): void => {
        const refused = answer._tag === 'response' && (answer.status === 503 || answer.status === 429);
        if (again === null || (refused && to === 'state')) return;
        setTimeout(() => void this.deliver(from, to, method, path, copy(sent)), again);
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
      const late = this.random.chance(this.lossProbability);
      const slow =
        to === 'state' && !path.startsWith('/follow') ? this.random.below(this.maxStoreDelayMs + 1) : 0;
      const delay = slow + (late ? timeoutMs + this.random.below(20_000) : 1 + this.random.below(10));
      setTimeout(() => {
        void this.deliver(from, to, method, path, sent).then((answer) => {
          repeat(answer);
          if (path === '/hello' && answer._tag === 'response' && answer.status === 200)
            this.checkCommandDuringPartition(to);
          if (this.random.chance(this.lossProbability) || this.machines.get(from)?.deaf) return;
          setTimeout(() => resolve(copy(answer)), 1 + this.random.below(10));
        });
      }, delay);
    });
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
      const hire = body as { hire: string; paddock: string; agistment: boolean; howMany: number };
      const known = this.machinesByRequestName.get(hire.hire);
      if (known) return reply(200, { drovers: known });
      const ids: string[] = [];
      const there = [...this.machines.values()].filter(
        (machine) => !machine.isTerminated && machine.zone === hire.paddock,
      ).length;
      for (let k = 0; k < Math.min(hire.howMany, this.machinesPerZone - there); k += 1)
        ids.push(this.bootMachine(hire.paddock, hire.agistment, 5_000));
      if (ids.length === 0) return reply(503, { error: 'no capacity' });
      this.machinesByRequestName.set(hire.hire, ids);
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
    // A machine that hangs may resume within its lease; after that its tasks never go on.
    const may = [...this.machines.values()].filter((machine) => !(machine.isHung && machine.leaseOver));
    return may.flatMap((machine) =>
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

  /** The rules that concern starts. */
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

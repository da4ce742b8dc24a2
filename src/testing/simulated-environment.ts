/**
 * The stand-ins together: cloud, network, machines and jobs around the controllers, on a virtual clock and
 * from one seed. Checks the rules that concern starts as it goes.
 */
import type { CallOutcome } from '../http/model.js';

import { SeededRandom } from './seeded-random.js';
import { KeyValueStoreStandIn, copy, reply, type WireRecord } from './key-value-store-stand-in.js';
import { WorkerStandIn, type OnMachine, type StandInJob } from './worker-stand-in.js';
/** The network, the cloud, and what the rules say. */
export class SimulatedEnvironment {
  readonly state = new KeyValueStoreStandIn();
  readonly machines = new Map<string, WorkerStandIn>();
  readonly jobs = new Map<string, StandInJob>();
  readonly broken: string[] = [];
  readonly starts: string[] = [];
  private readonly finished = new Set<string>();
  private readonly hires = new Map<string, string[]>();
  private readonly handlers = new Map<
    string,
    (method: string, path: string, body: unknown) => Promise<CallOutcome>
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
  /**
   * Probability that a message that was carried out is delivered once more, after one of these times (ms).
   */
  copies = 0;
  copyAfter: readonly number[] = [1_000];
  /** Machines that the cloud has in each zone. */
  capacity = 6;
  private readonly severed = new Map<string, { others: readonly string[]; at: number }>();

  constructor(
    readonly nodes: readonly string[],
    readonly random: SeededRandom,
    readonly leaseMs: number,
    readonly reportMs: number,
    readonly limits: ReadonlyMap<string, number>,
    readonly cancelMs: number,
  ) {}

  attach(name: string, handler: (method: string, path: string, body: unknown) => Promise<CallOutcome>): void {
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
  /**
   * From now on what this end and those say to each other waits; an empty list delivers all of it, in order.
   */
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

  private deliver(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
  ): Promise<CallOutcome> {
    const machine = this.machines.get(to);
    if (machine) {
      if (machine.dead || machine.cut || machine.deaf) return new Promise(() => undefined);
      if (machine.hung) return machine.awake().then(() => this.deliver(from, to, method, path, body));
      machine.expire();
      const raw = body as { crook: number; stint: number; calls: WireRecord[] };
      const ok = raw.stint === machine.agentEpoch && machine.execute(raw.crook, raw.calls);
      return Promise.resolve(reply(ok ? 200 : 409, machine.report()));
    }
    const sender = this.machines.get(from);
    if (sender?.cut || sender?.mute) return new Promise(() => undefined);
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
    if (this.isSevered(from, to)) return Promise.resolve({ _tag: 'noResponse', why: 'refused' });
    return new Promise((resolve) => {
      setTimeout(() => resolve({ _tag: 'noResponse', why: 'timeout' }), timeoutMs);
      const again = this.random.chance(this.copies)
        ? (this.copyAfter[this.random.below(this.copyAfter.length)] ?? 1_000)
        : null;
      /** What was answered 503 or 429 was not carried out, and never will be: of the rest a copy may come. */
      const repeat = (answer: CallOutcome): void => {
        const refused = answer._tag === 'response' && (answer.status === 503 || answer.status === 429);
        if (again === null || (refused && to === 'state')) return;
        setTimeout(() => void this.deliver(from, to, method, path, copy(sent)), again);
      };
      if (path === '/hello' && this.random.chance(this.lateReports))
        setTimeout(
          () => void this.deliver(from, to, method, path, copy(sent)),
          2_000 + this.random.below(2 * this.leaseMs),
        );
      if (path === '/txn' && this.random.chance(this.lateWrites)) {
        if ((sent as { writes: unknown[] }).writes.length > 0) {
          setTimeout(
            () => void this.deliver(from, to, method, path, sent),
            2_000 + this.random.below(10_000),
          );
          return;
        }
      }
      const held = this.holding(from, to);
      if (held) {
        held.push(() => void this.deliver(from, to, method, path, sent));
        return;
      }
      const late = this.random.chance(this.loss);
      const slow =
        to === 'state' && !path.startsWith('/follow') ? this.random.below(this.stateSlowMs + 1) : 0;
      const delay = slow + (late ? timeoutMs + this.random.below(20_000) : 1 + this.random.below(10));
      setTimeout(() => {
        void this.deliver(from, to, method, path, sent).then((answer) => {
          repeat(answer);
          if (path === '/hello' && answer._tag === 'response' && answer.status === 200) this.checkSilence(to);
          if (this.random.chance(this.loss) || this.machines.get(from)?.deaf) return;
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

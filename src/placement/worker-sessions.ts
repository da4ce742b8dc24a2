import { MAX_RUN_COMMAND_ATTEMPTS } from '../constants/workers.js';
import { log } from '../log.js';
import type { Command, WorkerHeartbeat } from '../workers/model.js';
import type { DirectResult } from '../workers/worker-client.js';
import { answerCommands, readChanges } from '../workers/reconcile.js';
import type { ShardState } from './shard-state.js';
import { chunkOf } from './run-records.js';
import { bindingKey, type Binding, type ShardMachine } from './shard-model.js';
import { onMachine } from './attempt-phase.js';

/** What the sessions with workers need of their share. */
export interface WorkerSessionsInput {
  readonly shardState: ShardState;
  readonly claim: number;
  readonly now: () => number;
  /** ms: a worker that we answered within this time has not lost its lease if it heard us. */
  readonly leaseMs: number;
  /** Reports are read, but say nothing about bindings before the share's runs are loaded. */
  readonly loaded: () => boolean;
  /** Known without the share's runs, from the jobs' records. */
  readonly isCancelled: (job: string) => boolean;
  readonly placing: () => boolean;
  readonly lost: () => boolean;
  readonly requestRound: () => void;
  readonly direct: (
    addr: string,
    token: number,
    agentEpoch: number,
    commands: readonly Command[],
  ) => Promise<DirectResult>;
}

const keyOf = (binding: Binding): string => bindingKey(binding.job, binding.index, binding.attempt);

/** What the workers of a share say, and what they are told. */
export class WorkerSessions {
  constructor(private readonly input: WorkerSessionsInput) {}

  token(machine: ShardMachine): number {
    return Math.max(this.input.claim, machine.version);
  }

  /**
   * null: an older message than one already seen, a late copy, or one that knows a higher token than ours.
   */
  onHeartbeat(heartbeat: WorkerHeartbeat): { readonly hurry: boolean } | null {
    const { shardState } = this.input;
    const machine = shardState.machines.get(heartbeat.machine);
    if (!machine) return null;
    const token = this.token(machine);
    if (heartbeat.token > token) return null;
    if (
      heartbeat.agentEpoch < machine.agentEpoch ||
      (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequenceNumber <= machine.sequenceNumber)
    )
      return null;
    const now = this.input.now();
    const underToken = heartbeat.token === token;
    const answeredLately = machine.answeredAt !== null && now - machine.answeredAt < this.input.leaseMs;
    const forgotUs = machine.agentEpoch > 0 && heartbeat.agentEpoch > machine.agentEpoch && answeredLately;
    const changes = this.input.loaded()
      ? readChanges(machine, heartbeat, underToken, (key) => this.mayBeLate(machine, key, heartbeat.token))
      : [];
    this.noteSeen(machine, heartbeat);
    const wasConfirmed = machine.confirmedToken !== 0;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequenceNumber = heartbeat.sequenceNumber;
    machine.addr = heartbeat.addr;
    machine.confirmedToken = underToken ? token : 0;
    machine.tookOurToken ||= underToken;
    machine.unconfirmedSince = underToken ? null : (machine.unconfirmedSince ?? now);
    machine.answeredAt = now;
    machine.reported = heartbeat.tasks;
    machine.free = null;
    if (heartbeat.noticeS !== null && machine.noticeAt === null) {
      machine.noticeAt = now;
      log.info({ event: 'machine.notice', machine: machine.id, noticeS: heartbeat.noticeS });
    }
    machine.noticeS = heartbeat.noticeS;
    const bound = machine.bound.size;
    for (const change of changes) shardState.apply(change.binding, change.event);
    if (forgotUs) this.markUnreachable(machine, 'its lease ran out although we answered');
    else this.detectUnheardRuns(machine);
    if (machine.noticeAt !== null) shardState.drain(machine);
    if (machine.confirmedToken !== 0 && !wasConfirmed) this.input.requestRound();
    // Room came free, or the machine came: what is placed on it next can travel in this very answer.
    const hurry = this.input.placing() && (machine.bound.size < bound || (underToken && !wasConfirmed));
    return { hurry };
  }

  /** A `run` that went out with several answers and shows in no report after them was not heard. */
  private detectUnheardRuns(machine: ShardMachine): void {
    for (const binding of machine.bound.values()) {
      if (binding.phase._tag === 'bound' && !binding.stop && binding.asked >= MAX_RUN_COMMAND_ATTEMPTS)
        return this.markUnreachable(machine, 'it starts nothing');
    }
  }

  /**
   * Its reports come, and what we say does not arrive. Nothing more goes there until it has taken up a new
   * token, which shows that it hears; what was bound there and never seen goes elsewhere, once proven absent.
   */
  private markUnreachable(machine: ShardMachine, why: string): void {
    log.info({ event: 'machine.deaf', machine: machine.id, why });
    machine.raiseToken = true;
    for (const binding of [...machine.bound.values()]) {
      if (binding.phase._tag !== 'bound') continue;
      const job = this.input.shardState.jobs.get(binding.job);
      if (job?.spec.kind === 'gang') this.input.shardState.breakGang(job);
      else this.input.shardState.stop(binding, 'broken', 0);
    }
    this.input.requestRound();
  }

  /** May a direct `run` of this attempt still be carried out, as far as a worker with this token goes? */
  private mayBeLate(machine: ShardMachine, key: string, seenToken: number): boolean {
    const token = machine.unacknowledgedRuns.get(key);
    if (token === undefined) return false;
    if (seenToken <= token) return true;
    machine.unacknowledgedRuns.delete(key);
    return false;
  }

  private noteSeen(machine: ShardMachine, heartbeat: WorkerHeartbeat): void {
    for (const task of heartbeat.tasks) {
      const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
      const seen = binding?.seen;
      if (!binding) continue;
      if (
        seen &&
        (seen.agentEpoch > heartbeat.agentEpoch ||
          (seen.agentEpoch === heartbeat.agentEpoch && seen.sequenceNumber >= heartbeat.sequenceNumber))
      )
        continue;
      binding.seen = { agentEpoch: heartbeat.agentEpoch, sequenceNumber: heartbeat.sequenceNumber };
    }
  }

  private byMachine(bindings: Iterable<Binding>): ReadonlyMap<ShardMachine, Binding[]> {
    const lists = new Map<ShardMachine, Binding[]>();
    for (const binding of bindings) {
      const machine = this.input.shardState.machines.get(binding.machine);
      if (!machine || machine.addr === '' || machine.confirmedToken === 0) continue;
      const list = lists.get(machine);
      if (list) list.push(binding);
      else lists.set(machine, [binding]);
    }
    return lists;
  }

  /**
   * Stops go out directly too: all members of a gang must hear of an orderly stop within the time that its
   * tasks wait for each other, and reports alone may take as long. A late copy stops only what is to stop
   * anyway.
   */
  sendStops(): void {
    const { stops } = this.input.shardState;
    if (stops.size === 0) return;
    const waiting = [...stops].filter((binding) => binding.stop && onMachine(binding.phase));
    stops.clear();
    for (const [machine, list] of this.byMachine(waiting)) {
      const commands = list.map((binding): Command => ({
        _tag: 'stop',
        job: binding.job,
        index: binding.index,
        attempt: binding.attempt,
        graceS: binding.stop?.graceS ?? 0,
      }));
      void this.input
        .direct(machine.addr, this.token(machine), machine.agentEpoch, commands)
        .then((result) => {
          if (result._tag === 'executed') this.onDirectResponse(machine, result.heartbeat);
        });
    }
  }

  /** Sends the `run`s of freshly bound tasks straight to their machines instead of waiting for reports. */
  sendRuns(bindings: readonly Binding[]): void {
    const fresh = bindings.filter((binding) => binding.phase._tag === 'bound' && !binding.stop);
    for (const [machine, list] of this.byMachine(fresh)) {
      if (machine.answering > 0) continue;
      const token = this.token(machine);
      for (const binding of list) machine.unacknowledgedRuns.set(keyOf(binding), token);
      const commands = list.map((binding): Command => ({
        _tag: 'run',
        job: binding.job,
        index: binding.index,
        attempt: binding.attempt,
      }));
      void this.input.direct(machine.addr, token, machine.agentEpoch, commands).then((result) => {
        switch (result._tag) {
          case 'executed':
          case 'refused':
            for (const binding of list) {
              const key = keyOf(binding);
              if (machine.unacknowledgedRuns.get(key) === token) machine.unacknowledgedRuns.delete(key);
            }
            if (result._tag === 'executed') this.onDirectResponse(machine, result.heartbeat);
            return;
          case 'unknown':
            machine.raiseToken = true;
            log.info({ event: 'direct.unsure', machine: machine.id, tasks: list.length });
            this.input.requestRound();
        }
      });
    }
  }

  /**
   * What a direct answer shows is there is there. What it doesn't show proves nothing: the answer to a report
   * may be on its way at the same time.
   */
  private onDirectResponse(machine: ShardMachine, heartbeat: WorkerHeartbeat): void {
    const { shardState } = this.input;
    if (this.input.lost() || !this.input.loaded() || shardState.machines.get(machine.id) !== machine) return;
    if (heartbeat.agentEpoch < machine.agentEpoch) return;
    for (const task of heartbeat.tasks) {
      const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
      const seen = binding?.seen;
      if (
        !binding ||
        (seen && seen.agentEpoch === heartbeat.agentEpoch && seen.sequenceNumber >= heartbeat.sequenceNumber)
      )
        continue;
      shardState.apply(binding, { _tag: 'reported', state: task.state });
    }
    this.noteSeen(machine, heartbeat);
  }

  /**
   * A machine that came from another share: its worker hears of the new token at once, not by asking around.
   */
  greet(machine: ShardMachine, agentEpoch: number): void {
    const token = this.token(machine);
    void this.input.direct(machine.addr, token, agentEpoch, []).then((result) => {
      if (
        this.input.shardState.machines.get(machine.id) !== machine ||
        this.token(machine) !== token ||
        machine.confirmedToken !== 0
      )
        return;
      if (result._tag !== 'executed' || result.heartbeat.token !== token || machine.answeredAt !== null)
        return;
      machine.agentEpoch = result.heartbeat.agentEpoch;
      machine.sequenceNumber = result.heartbeat.sequenceNumber;
      machine.confirmedToken = token;
      machine.tookOurToken = true;
      machine.reported = result.heartbeat.tasks;
      machine.free = null;
      // Later than the last answer of any earlier holder that the worker can have accepted.
      machine.answeredAt = this.input.now();
      this.input.requestRound();
    });
  }

  /** The commands that answer a machine's last report. */
  orders(
    heartbeat: WorkerHeartbeat,
  ): { readonly token: number; readonly commands: readonly Command[] } | null {
    const machine = this.input.shardState.machines.get(heartbeat.machine);
    if (
      !machine ||
      machine.sequenceNumber !== heartbeat.sequenceNumber ||
      machine.agentEpoch !== heartbeat.agentEpoch
    )
      return null;
    const token = this.token(machine);
    if (!this.input.loaded()) return { token, commands: this.stopsOfCancelled(heartbeat) };
    const commands = answerCommands(
      machine,
      heartbeat,
      heartbeat.token === token,
      (key, job, index) => !this.mayBeLate(machine, key, heartbeat.token) && this.settled(key, job, index),
      this.input.now(),
    );
    if (commands.some((command) => command._tag === 'forget')) machine.forgetFrom = null;
    else if (heartbeat.tasks.some((task) => task.state._tag === 'exited'))
      machine.forgetFrom ??= this.input.now();
    for (const command of commands) {
      if (command._tag !== 'run') continue;
      const binding = machine.bound.get(bindingKey(command.job, command.index, command.attempt));
      if (binding) binding.asked += 1;
    }
    return { token, commands };
  }

  /**
   * The runs can't be read as long as the state service is away; what is cancelled must not go on for that.
   */
  private stopsOfCancelled(heartbeat: WorkerHeartbeat): readonly Command[] {
    return heartbeat.tasks
      .filter((task) => task.state._tag !== 'exited' && this.input.isCancelled(task.job))
      .map(({ job, index, attempt }) => ({ _tag: 'stop', job, index, attempt, graceS: 0 }));
  }

  /** The state service no longer binds this attempt: a later holder won't start it again. */
  settled(key: string, job: string, index: number): boolean {
    return !(this.input.shardState.jobs.get(job)?.chunks.get(chunkOf(index))?.durable.has(key) ?? false);
  }
}

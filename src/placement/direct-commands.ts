/**
 * Sends commands directly to workers instead of waiting for their next heartbeat. No state of its own: it
 * records on each machine which `run` commands it sent, and their outcome. `Binder` sends runs, `Shard` sends
 * stops, `ShardChanges` announces tokens.
 */
import { log } from '../log.js';
import type { Command, WorkerHeartbeat } from '../workers/model.js';
import type { DirectResult } from '../workers/worker-client.js';
import { recordDirectRun, removeDirectRun } from './direct-runs.js';
import { recordLastSeen } from './heartbeat-order.js';
import type { RoundTrigger, StageQueries, SteadyClock } from './ports.js';
import type { CommandSender } from './shard-context.js';
import { bindingKey, type Binding, type DirectRun, type ShardMachine } from './shard-model.js';
import type { ShardState } from './shard-state.js';
import type { WorkerTokens } from './worker-tokens.js';

/** What the direct commands need of their shard. */
export interface DirectCommandsDependencies
  extends SteadyClock, Pick<StageQueries, 'isLoaded' | 'isLost'>, RoundTrigger, CommandSender {
  readonly shardState: ShardState;
  readonly tokens: WorkerTokens;
}

const runCommand = ({ job, index, attempt }: Binding): Command => ({ _tag: 'run', job, index, attempt });

const stopCommand = ({ job, index, attempt, stop }: Binding): Command => ({
  _tag: 'stop',
  job,
  index,
  attempt,
  graceS: stop?.graceS ?? 0,
});

/** Sends commands to the workers of one shard, and processes their responses. */
export class DirectCommands {
  constructor(private readonly dependencies: DirectCommandsDependencies) {}

  /**
   * Sends pending stops directly: all members of a gang must receive an orderly stop within the time that its
   * tasks wait for each other, and stops in answers to heartbeats may take that long. A late copy of a stop
   * affects only tasks that are to stop anyway.
   */
  sendStops(): void {
    const stops = this.dependencies.shardState.takeStopsToSend();
    for (const [machine, bindings] of this.groupByMachine(stops)) {
      void this.send(machine, bindings.map(stopCommand)).then((result) => {
        if (result._tag === 'executed') this.onResponse(machine, result.heartbeat);
      });
    }
  }

  /** Sends the `run` commands of tasks that were just bound. */
  sendRuns(bindings: readonly Binding[]): void {
    const { tokens } = this.dependencies;
    const toRun = bindings.filter((binding) => binding.phase._tag === 'bound' && !binding.stop);
    for (const [machine, machineBindings] of this.groupByMachine(toRun)) {
      // The answer to a heartbeat that waits for this round carries the commands.
      if (machine.pendingAnswers > 0) continue;
      const commands = machineBindings.map(runCommand);
      // Commands that need a token which is not known yet go with the answer to a heartbeat.
      if (!commands.every((command) => tokens.canFence(machine, command))) continue;
      const token = tokens.raiseFor(machine, commands);
      const runs = machineBindings.map((binding) => recordDirectRun(machine, binding, token));
      void this.send(machine, commands).then((result) => this.onRunsAnswered(machine, runs, result));
    }
  }

  private onRunsAnswered(machine: ShardMachine, runs: readonly DirectRun[], result: DirectResult): void {
    switch (result._tag) {
      case 'executed':
        for (const run of runs) run.outcome = 'executed';
        this.onResponse(machine, result.heartbeat);
        return;
      case 'refused':
        for (const run of runs) removeDirectRun(machine, run);
        return;
      case 'unknown':
        for (const run of runs) run.outcome = 'unanswered';
        machine.needsHigherToken = true;
        log.info({ event: 'direct_commands.unacknowledged', machine: machine.id, tasks: runs.length });
        this.dependencies.requestRound();
    }
  }

  /**
   * Sends the new token at once to the worker of a machine that was added with a known address, usually after
   * its transfer from another shard.
   */
  announceToken(machine: ShardMachine, agentEpoch: number): void {
    const token = this.token(machine);
    void this.dependencies.sendCommands(machine.addr, token, agentEpoch, []).then((result) => {
      if (result._tag === 'executed') this.onTokenAnnounced(machine, token, result.heartbeat);
    });
  }

  private onTokenAnnounced(machine: ShardMachine, token: number, heartbeat: WorkerHeartbeat): void {
    const { shardState, now, requestRound } = this.dependencies;
    if (shardState.machines.get(machine.id) !== machine || this.token(machine) !== token) return;
    if (heartbeat.token !== token) return;
    if (machine.confirmedToken !== 0 || machine.answeredAt !== null) return;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequenceNumber = heartbeat.sequenceNumber;
    machine.confirmedToken = token;
    machine.everConfirmedToken = true;
    machine.reportedTasks = heartbeat.tasks;
    machine.free = null;
    // The present time is later than the last answer of any earlier holder that the worker can have accepted.
    machine.answeredAt = now();
    requestRound();
  }

  /**
   * Applies the tasks that a direct response shows. The absence of a task proves nothing: the answer to a
   * heartbeat may be in transit at the same time.
   */
  private onResponse(machine: ShardMachine, heartbeat: WorkerHeartbeat): void {
    const { shardState, isLost, isLoaded } = this.dependencies;
    if (isLost() || !isLoaded() || shardState.machines.get(machine.id) !== machine) return;
    if (heartbeat.agentEpoch < machine.agentEpoch) return;
    for (const task of heartbeat.tasks) {
      const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
      if (!binding) continue;
      const { lastSeen } = binding;
      const shownAlready =
        lastSeen?.agentEpoch === heartbeat.agentEpoch && lastSeen.sequenceNumber >= heartbeat.sequenceNumber;
      if (!shownAlready) shardState.apply(binding, { _tag: 'reported', state: task.state });
    }
    recordLastSeen(machine, heartbeat);
  }

  private send(machine: ShardMachine, commands: readonly Command[]): Promise<DirectResult> {
    return this.dependencies.sendCommands(machine.addr, this.token(machine), machine.agentEpoch, commands);
  }

  private token(machine: ShardMachine): number {
    return this.dependencies.tokens.current(machine);
  }

  /** Groups bindings by machine; leaves out machines without a known address or a confirmed token. */
  private groupByMachine(bindings: Iterable<Binding>): ReadonlyMap<ShardMachine, Binding[]> {
    const groups = new Map<ShardMachine, Binding[]>();
    for (const binding of bindings) {
      const machine = this.dependencies.shardState.machines.get(binding.machine);
      if (!machine || machine.addr === '' || machine.confirmedToken === 0) continue;
      const group = groups.get(machine);
      if (group) group.push(binding);
      else groups.set(machine, [binding]);
    }
    return groups;
  }
}

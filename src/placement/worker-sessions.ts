/**
 * Handles the heartbeats of a shard's workers and builds the commands that answer them. Owns the session
 * fields of each machine (`agentEpoch`, sequence number, confirmed token, reported tasks). Apart from this
 * class, only `DirectCommands` sets these fields, when a worker confirms an announced token, and
 * `ShardChanges` resets the confirmed token. `Shard` forwards each heartbeat.
 */
import { MAX_RUN_COMMAND_ATTEMPTS } from '../constants/workers.js';
import { log } from '../log.js';
import type { Command, WorkerHeartbeat } from '../workers/model.js';
import { answerCommands, detectPhaseChanges } from '../workers/reconcile.js';
import { mayStartLate, removeRefusedRuns } from './direct-runs.js';
import { isNewer, recordLastSeen } from './heartbeat-order.js';
import type { RoundTrigger, StageQueries, SteadyClock } from './ports.js';
import { chunkOf } from './run-records.js';
import { bindingKey, type ShardMachine } from './shard-model.js';
import type { ShardState } from './shard-state.js';
import type { WorkerTokens } from './worker-tokens.js';

/** What the sessions with workers need of their shard. */
export interface WorkerSessionsDependencies
  extends SteadyClock, Pick<StageQueries, 'isLoaded' | 'isPlacing'>, RoundTrigger {
  readonly shardState: ShardState;
  readonly tokens: WorkerTokens;
  /**
   * ms: a worker that was answered within this time still has its lease, provided that the answer arrived.
   */
  readonly leaseMs: number;
  /**
   * Whether the job is cancelled, according to its shared record or to an acknowledged cancellation. Needs no
   * runs, so it works before the shard is loaded.
   */
  readonly isCancelled: (job: string) => boolean;
}

/** The result of an accepted heartbeat. */
export interface HeartbeatReceipt {
  /**
   * Whether the next round may place work on the machine. If so, the answer to this heartbeat waits for the
   * round in order to carry the commands.
   */
  readonly awaitRound: boolean;
}

/** Commands for a worker, with the fencing token under which the holder of the shard sends them. */
export interface FencedCommands {
  readonly token: number;
  readonly commands: readonly Command[];
}

/** The sessions with the workers of one shard. */
export class WorkerSessions {
  constructor(private readonly dependencies: WorkerSessionsDependencies) {}

  // ---- heartbeats -----------------------------------------------------------------------------------------

  /**
   * Applies a heartbeat. Null: the machine is not in this shard, or the heartbeat is older than one already
   * received (a late copy) or names a higher token than this shard's.
   */
  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatReceipt | null {
    const { shardState, tokens, isPlacing, requestRound, now } = this.dependencies;
    const machine = this.machineIfNewer(heartbeat);
    if (!machine) return null;
    const receivedAt = now();
    const underToken = tokens.isOfThisHolder(heartbeat.token, machine);
    removeRefusedRuns(machine, heartbeat);
    const restarted = this.restartedWithinLease(machine, heartbeat, receivedAt);
    const changes = this.reportedChanges(machine, heartbeat, underToken);
    recordLastSeen(machine, heartbeat);
    const newlyConfirmed = underToken && machine.confirmedToken === 0;
    this.recordSession(machine, heartbeat, underToken, receivedAt);
    const boundBefore = machine.bound.size;
    for (const change of changes) shardState.apply(change.binding, change.event);
    if (restarted) this.markUnreachable(machine, 'its lease ran out although we answered');
    else this.detectIgnoredRuns(machine);
    if (machine.reclaimNoticeAt !== null) shardState.drain(machine);
    if (newlyConfirmed) requestRound();
    return { awaitRound: isPlacing() && (machine.bound.size < boundBefore || newlyConfirmed) };
  }

  private machineIfNewer(heartbeat: WorkerHeartbeat): ShardMachine | null {
    const { shardState, tokens } = this.dependencies;
    const machine = shardState.machines.get(heartbeat.machine);
    if (!machine || heartbeat.token > tokens.current(machine) || !isNewer(heartbeat, machine)) return null;
    return machine;
  }

  /**
   * Whether the worker began a new session although this holder answered it within `leaseMs`: the worker did
   * not receive the answers.
   */
  private restartedWithinLease(machine: ShardMachine, heartbeat: WorkerHeartbeat, now: number): boolean {
    const { agentEpoch, answeredAt } = machine;
    const answeredLately = answeredAt !== null && now - answeredAt < this.dependencies.leaseMs;
    return agentEpoch > 0 && heartbeat.agentEpoch > agentEpoch && answeredLately;
  }

  private reportedChanges(
    machine: ShardMachine,
    heartbeat: WorkerHeartbeat,
    underToken: boolean,
  ): ReturnType<typeof detectPhaseChanges> {
    if (!this.dependencies.isLoaded()) return [];
    return detectPhaseChanges(machine, heartbeat, underToken, (key) => mayStartLate(machine, key));
  }

  private recordSession(
    machine: ShardMachine,
    heartbeat: WorkerHeartbeat,
    underToken: boolean,
    now: number,
  ): void {
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequenceNumber = heartbeat.sequenceNumber;
    machine.addr = heartbeat.addr;
    machine.confirmedToken = underToken ? heartbeat.token : 0;
    machine.everConfirmedToken ||= underToken;
    machine.unconfirmedSince = underToken ? null : (machine.unconfirmedSince ?? now);
    machine.answeredAt = now;
    machine.reportedTasks = heartbeat.tasks;
    machine.free = null;
    if (heartbeat.noticeS !== null && machine.reclaimNoticeAt === null) {
      machine.reclaimNoticeAt = now;
      log.info({ event: 'machine.reclaim_notice', machine: machine.id, noticeS: heartbeat.noticeS });
    }
    machine.reclaimNoticeS = heartbeat.noticeS;
  }

  /**
   * Marks the machine as unreachable if `MAX_RUN_COMMAND_ATTEMPTS` answers carried the same `run` command and
   * no heartbeat has shown its task: the answers did not arrive.
   */
  private detectIgnoredRuns(machine: ShardMachine): void {
    for (const { phase, stop, runCommandsSent } of machine.bound.values()) {
      if (phase._tag !== 'bound' || stop || runCommandsSent < MAX_RUN_COMMAND_ATTEMPTS) continue;
      this.markUnreachable(machine, 'it starts nothing');
      return;
    }
  }

  /**
   * Handles a machine whose heartbeats arrive while the answers to them are lost. Nothing is placed on the
   * machine until its worker confirms a new token, which shows that answers arrive again. Tasks that were
   * bound to the machine but never reported are placed elsewhere once they are proven absent.
   */
  private markUnreachable(machine: ShardMachine, why: string): void {
    const { shardState, requestRound } = this.dependencies;
    log.info({ event: 'machine.unreachable', machine: machine.id, why });
    machine.needsHigherToken = true;
    for (const binding of [...machine.bound.values()]) {
      if (binding.phase._tag !== 'bound') continue;
      const job = shardState.jobs.get(binding.job);
      if (job?.spec.kind === 'gang') shardState.stopBrokenGang(job);
      else shardState.stop(binding, 'broken', 0);
    }
    requestRound();
  }

  // ---- answers --------------------------------------------------------------------------------------------

  /**
   * The commands that answer a heartbeat; null: the machine has sent a later one, or is not in this shard.
   */
  commandsFor(heartbeat: WorkerHeartbeat): FencedCommands | null {
    const { shardState, tokens, isLoaded } = this.dependencies;
    const machine = shardState.machines.get(heartbeat.machine);
    if (machine?.sequenceNumber !== heartbeat.sequenceNumber || machine.agentEpoch !== heartbeat.agentEpoch)
      return null;
    if (isLoaded()) return this.answerOfLoadedShard(machine, heartbeat);
    return { token: tokens.current(machine), commands: this.stopsOfCancelled(heartbeat) };
  }

  /**
   * The commands for the tasks that the heartbeat shows. A worker drops an attempt only under a token at
   * which it refuses each copy of the direct `run` that started the attempt, since a copy would start it
   * again: commands for which no such token is known yet are left to a later answer.
   */
  private answerOfLoadedShard(machine: ShardMachine, heartbeat: WorkerHeartbeat): FencedCommands {
    const { tokens, now } = this.dependencies;
    const commands = answerCommands(
      machine,
      heartbeat,
      tokens.isOfThisHolder(heartbeat.token, machine),
      (command) => tokens.canFence(machine, command),
      (key, job, index) => this.isDurablyUnbound(key, job, index),
      now(),
    );
    this.recordAnswer(machine, heartbeat, commands);
    return { token: tokens.raiseFor(machine, commands), commands };
  }

  private recordAnswer(
    machine: ShardMachine,
    heartbeat: WorkerHeartbeat,
    commands: readonly Command[],
  ): void {
    if (commands.some((command) => command._tag === 'forget')) machine.exitsPendingSince = null;
    else if (heartbeat.tasks.some((task) => task.state._tag === 'exited'))
      machine.exitsPendingSince ??= this.dependencies.now();
    for (const command of commands) {
      if (command._tag !== 'run') continue;
      const binding = machine.bound.get(bindingKey(command.job, command.index, command.attempt));
      if (binding) binding.runCommandsSent += 1;
    }
  }

  /**
   * The `stop` commands for the tasks of cancelled jobs while the shard's runs are not loaded: a cancelled
   * task must not continue because the key-value store is unavailable.
   */
  private stopsOfCancelled(heartbeat: WorkerHeartbeat): readonly Command[] {
    return heartbeat.tasks
      .filter((task) => task.state._tag !== 'exited' && this.dependencies.isCancelled(task.job))
      .map(({ job, index, attempt }) => ({ _tag: 'stop', job, index, attempt, graceS: 0 }));
  }

  /** Whether the stored run no longer binds this attempt, so that a later holder won't start it again. */
  isDurablyUnbound(key: string, job: string, index: number): boolean {
    const chunk = this.dependencies.shardState.jobs.get(job)?.chunks.get(chunkOf(index));
    return !(chunk?.durable.has(key) ?? false);
  }
}

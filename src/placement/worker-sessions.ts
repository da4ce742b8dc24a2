/**
 * Handles the heartbeats of a shard's workers and builds the commands that answer them. Owns the session
 * fields of each machine (epoch, sequence number, confirmed token, last report), which only `DirectCommands`
 * sets as well, for a machine that has not reported yet. `Shard` passes on each heartbeat.
 */
import { MAX_RUN_COMMAND_ATTEMPTS } from '../constants/workers.js';
import { log } from '../log.js';
import type { Command, WorkerHeartbeat } from '../workers/model.js';
import { answerCommands, detectPhaseChanges } from '../workers/reconcile.js';
import { isNewer, recordLastSeen, tokenOf } from './heartbeat-order.js';
import type { RoundTrigger, ShardIdentity, StageQueries, SteadyClock } from './ports.js';
import { chunkOf } from './run-records.js';
import { bindingKey, type ShardMachine } from './shard-model.js';
import type { ShardState } from './shard-state.js';

/** What the sessions with workers need of their shard. */
export interface WorkerSessionsDependencies
  extends
    Pick<ShardIdentity, 'claim'>,
    SteadyClock,
    Pick<StageQueries, 'isLoaded' | 'isPlacing'>,
    RoundTrigger {
  readonly shardState: ShardState;
  /**
   * ms: a worker that was answered within this time still has its lease, provided that the answer arrived.
   */
  readonly leaseMs: number;
  /** Whether the job is cancelled, as known from the jobs' records without the shard's runs. */
  readonly isCancelled: (job: string) => boolean;
}

/** The result of an accepted heartbeat. */
export interface HeartbeatReceipt {
  /**
   * Whether the next round may place work on the machine, which the answer to this heartbeat can then carry.
   */
  readonly awaitRound: boolean;
}

/** Commands for a worker, with the fencing token that it must know or learn. */
export interface FencedCommands {
  readonly token: number;
  readonly commands: readonly Command[];
}

/** The sessions with the workers of one shard. */
export class WorkerSessions {
  constructor(private readonly dependencies: WorkerSessionsDependencies) {}

  // ---- what is reported -----------------------------------------------------------------------------------

  /**
   * Applies a heartbeat. Null: the machine is not in this shard, or the heartbeat is older than one already
   * received (a late copy) or names a higher token than this shard's.
   */
  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatReceipt | null {
    const { shardState, isPlacing, requestRound, now } = this.dependencies;
    const machine = this.machineIfNewer(heartbeat);
    if (!machine) return null;
    const receivedAt = now();
    const underToken = heartbeat.token === this.token(machine);
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

  private token(machine: ShardMachine): number {
    return tokenOf(this.dependencies.claim, machine);
  }

  private machineIfNewer(heartbeat: WorkerHeartbeat): ShardMachine | null {
    const machine = this.dependencies.shardState.machines.get(heartbeat.machine);
    if (!machine || heartbeat.token > this.token(machine) || !isNewer(heartbeat, machine)) return null;
    return machine;
  }

  /**
   * Whether the worker began a new session although its last answer is recent: the worker did not receive it.
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
    return detectPhaseChanges(machine, heartbeat, underToken, (key) =>
      this.mayStillRun(machine, key, heartbeat.token),
    );
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
    machine.confirmedToken = underToken ? this.token(machine) : 0;
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
   * Marks the machine as unreachable if several answers carried a `run` and no later heartbeat shows its
   * task: the answers did not arrive.
   */
  private detectIgnoredRuns(machine: ShardMachine): void {
    for (const { phase, stop, runCommandsSent } of machine.bound.values()) {
      if (phase._tag !== 'bound' || stop || runCommandsSent < MAX_RUN_COMMAND_ATTEMPTS) continue;
      this.markUnreachable(machine, 'it starts nothing');
      return;
    }
  }

  /**
   * Handles a machine whose heartbeats arrive while its answers are lost. Nothing is placed on it until its
   * worker confirms a new token, which shows that answers arrive; what was bound there and never reported is
   * placed elsewhere, once it is proven absent.
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

  /** Whether a worker that has seen `workerToken` may still execute a direct `run` of this attempt. */
  private mayStillRun(machine: ShardMachine, key: string, workerToken: number): boolean {
    const token = machine.unacknowledgedRuns.get(key);
    if (token === undefined) return false;
    if (workerToken <= token) return true;
    machine.unacknowledgedRuns.delete(key);
    return false;
  }

  // ---- what is answered -----------------------------------------------------------------------------------

  /** The commands that answer a machine's last heartbeat; null: this heartbeat is not the last one. */
  commandsFor(heartbeat: WorkerHeartbeat): FencedCommands | null {
    const machine = this.dependencies.shardState.machines.get(heartbeat.machine);
    if (machine?.sequenceNumber !== heartbeat.sequenceNumber || machine.agentEpoch !== heartbeat.agentEpoch)
      return null;
    const token = this.token(machine);
    if (!this.dependencies.isLoaded()) return { token, commands: this.stopsOfCancelled(heartbeat) };
    const commands = answerCommands(
      machine,
      heartbeat,
      heartbeat.token === token,
      (key, job, index) =>
        !this.mayStillRun(machine, key, heartbeat.token) && this.isDurablyUnbound(key, job, index),
      this.dependencies.now(),
    );
    this.recordAnswer(machine, heartbeat, commands);
    return { token, commands };
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
   * Stops for the tasks of cancelled jobs while the runs are not loaded: a cancelled task must not continue
   * because the key-value store is unavailable.
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

/**
 * Decides which machines of a shard are to be released to the cloud, and why: machines that are silent, hear
 * nothing, are sick or idle, and those that hold tasks of cancelled jobs for too long. No state of its own;
 * `MachineLifecycle` calls it.
 */
import { CANCELLED_MACHINE_RELEASE_MARGIN_MS } from '../constants/cancellation.js';
import {
  BOOT_BOUND_IDLE_HOLD_BOOT_FACTOR,
  IDLE_HOLD_BOOT_FACTOR,
  LONG_IDLE_HOLD_MACHINES,
  MIN_IDLE_HOLD_S,
  SHARD_LOAD_GRACE_SPOT_SILENCES,
  SPOT_SILENCE_REPORT_INTERVALS,
  SURPLUS_IDLE_HOLD_BOOT_FACTOR,
  UNCONFIRMED_TOKEN_LEASES,
} from '../constants/machines.js';
import type { MachineLiveness } from './machine-liveness.js';
import type { SteadyClock, WallClock } from './ports.js';
import type { ShardContext } from './shard-context.js';
import type { ReleaseReason, ShardJob, ShardMachine } from './shard-model.js';

/** What `MachineReleases` needs of its shard. */
export interface MachineReleasesDependencies
  extends SteadyClock, WallClock, Pick<ShardContext, 'workers' | 'isBootBound'> {
  readonly machines: ReadonlyMap<string, ShardMachine>;
  readonly liveness: MachineLiveness;
}

/** A machine that is to be released to the cloud, with the reason for its record and the log. */
export interface MachineToRelease {
  readonly machine: ShardMachine;
  readonly reason: ReleaseReason;
}

/** Whether the silence of machines indicates a fault of theirs or of this controller. */
interface Reachability {
  /** Whether this controller has received recent heartbeats from at least half of its machines. */
  readonly receivesFromMost: boolean;
  /**
   * Whether at least half of the machines that send heartbeats confirm the token, so that answers reach them.
   */
  readonly reachesMost: boolean;
  /** Whether the shard was loaded long enough ago for its machines to have sent heartbeats. */
  readonly hasSettled: boolean;
}

/** Decides on the releases of the machines of one shard. */
export class MachineReleases {
  /** ms: a spot machine that is silent for this long was most likely reclaimed by the cloud. */
  private readonly spotSilenceMs: number;
  /**
   * ms after a cancellation: a machine is released if a task of the cancelled job on it is not proven gone by
   * then.
   */
  private readonly cancelledReleaseMs: number;

  constructor(private readonly dependencies: MachineReleasesDependencies) {
    const { report_s: reportS, cancel_s: cancelS } = dependencies.workers;
    this.spotSilenceMs = reportS * 1000 * SPOT_SILENCE_REPORT_INTERVALS;
    this.cancelledReleaseMs = cancelS * 1000 - CANCELLED_MACHINE_RELEASE_MARGIN_MS;
  }

  /**
   * Machines on which a task of a cancelled job is still not proven gone, at a time when only a release to
   * the cloud can end the task in time: a worker that hangs may resume within its lease, and each new holder
   * of the shard would have to wait for that lease again.
   */
  machinesWithOverdueCancellations(jobs: Iterable<ShardJob>): readonly ShardMachine[] {
    const wall = this.dependencies.wall();
    const overdue = new Set<ShardMachine>();
    for (const job of jobs) {
      if (job.cancelledAt === null || wall - job.cancelledAt < this.cancelledReleaseMs) continue;
      for (const binding of job.bindings.values()) {
        const machine = this.dependencies.machines.get(binding.machine);
        if (machine) overdue.add(machine);
      }
    }
    return [...overdue];
  }

  /**
   * ms: how long an idle machine is held; `rank` is the number of machines of the same type and price model
   * (spot or on-demand) that have been idle for a shorter time.
   */
  private idleHoldMs(machine: ShardMachine, rank: number): number {
    const boots =
      !machine.spot && this.dependencies.isBootBound(machine.type)
        ? BOOT_BOUND_IDLE_HOLD_BOOT_FACTOR
        : rank < LONG_IDLE_HOLD_MACHINES
          ? IDLE_HOLD_BOOT_FACTOR
          : SURPLUS_IDLE_HOLD_BOOT_FACTOR;
    const bootS = this.dependencies.liveness.bootSecondsOf(machine, 0);
    return Math.max(MIN_IDLE_HOLD_S, bootS * boots) * 1000;
  }

  /**
   * The machines to be released now, each with the reason. Machines that are merely idle are included only if
   * `placing` is true.
   */
  machinesToRelease(placing: boolean): readonly MachineToRelease[] {
    const now = this.dependencies.now();
    const list: MachineToRelease[] = [];
    const idle = new Map<string, ShardMachine[]>();
    const reachability = this.reachability(now);
    for (const machine of this.dependencies.machines.values()) {
      if (machine.releasing) continue;
      const reason = this.releaseReason(machine, now, reachability);
      if (reason !== null) list.push({ machine, reason });
      else if (placing && machine.answeredAt !== null && machine.idleSince !== null) {
        const key = `${machine.type}|${machine.spot}`;
        const known = idle.get(key);
        if (known) known.push(machine);
        else idle.set(key, [machine]);
      }
    }
    for (const group of idle.values()) list.push(...this.idleBeyondHold(group, now));
    return list;
  }

  private reachability(now: number): Reachability {
    const { liveness } = this.dependencies;
    let unconfirmed = 0;
    let withinLease = 0;
    for (const machine of this.dependencies.machines.values()) {
      if (machine.answeredAt === null || now - machine.answeredAt >= liveness.leaseMs) continue;
      withinLease += 1;
      if (machine.unconfirmedSince !== null) unconfirmed += 1;
    }
    const { machines, reporting } = liveness.heartbeatCoverage(this.spotSilenceMs);
    return {
      receivesFromMost: reporting * 2 >= machines,
      reachesMost: unconfirmed * 2 <= withinLease,
      hasSettled:
        liveness.loadedAt !== null &&
        now - liveness.loadedAt > this.spotSilenceMs * SHARD_LOAD_GRACE_SPOT_SILENCES,
    };
  }

  /** Why a machine is to be released regardless of its idle time; null: there is no reason. */
  private releaseReason(
    machine: ShardMachine,
    now: number,
    reachability: Reachability,
  ): ReleaseReason | null {
    const { liveness } = this.dependencies;
    // An urgent release was requested without a durable intent; the leader may still carry it out.
    if (machine.cordoned) return 'return was asked for';
    if (machine.answeredAt === null)
      return liveness.isSilent(machine, now) && !liveness.isBooting(machine) ? 'never came up' : null;
    if (liveness.isSilent(machine, now)) return 'silent';
    /*
     * The cloud most likely reclaimed a spot machine without notice if the machine stopped reporting. Its
     * release proves that its tasks are gone, long before its lease expires; if the machine was only
     * disconnected, little is lost.
     */
    const spotSilent = machine.spot && now - machine.answeredAt >= this.spotSilenceMs;
    if (spotSilent && reachability.receivesFromMost && reachability.hasSettled) return 'spot silent';
    // The worker sends heartbeats but has not confirmed the token for `UNCONFIRMED_TOKEN_LEASES` leases:
    // answers do not reach it.
    const { unconfirmedSince } = machine;
    if (
      unconfirmedSince !== null &&
      reachability.reachesMost &&
      now - unconfirmedSince > liveness.leaseMs * UNCONFIRMED_TOKEN_LEASES
    )
      return 'does not hear';
    return machine.health._tag === 'quarantined' && machine.bound.size === 0 ? 'sick' : null;
  }

  /**
   * Selects the idle machines that have exceeded their hold time. Holding an idle machine for about the time
   * that a new one takes to boot bounds the cost of a wrong choice, whether to hold or to release. Apart from
   * on-demand machines of boot-bound types, only machines for the next gang or two are held that long: of
   * many idle machines, those that have been idle longest are released sooner.
   */
  private idleBeyondHold(group: readonly ShardMachine[], now: number): readonly MachineToRelease[] {
    return [...group]
      .sort((a, b) => (b.idleSince ?? 0) - (a.idleSince ?? 0))
      .filter((machine, rank) => now - (machine.idleSince ?? now) > this.idleHoldMs(machine, rank))
      .map((machine) => ({ machine, reason: 'idle' }));
  }
}

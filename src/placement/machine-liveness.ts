/**
 * Derives the state of machines from their workers' heartbeats and silence: live, booting, idle, to be
 * released. Owns the time when the shard was loaded; of machines it changes `total`, `health` once a
 * suspicion is over, and `idleSince`. Rounds and `MachineLifecycle` call it.
 */
import { CANCELLED_MACHINE_RELEASE_MARGIN_MS } from '../constants/cancellation.js';
import { CLOCK_DRIFT_FRACTION, UNREACHABLE_WORKERS_REPORT_INTERVALS } from '../constants/leases.js';
import {
  BOOT_BOUND_IDLE_HOLD_BOOT_FACTOR,
  BOOT_TIMEOUT_FACTOR,
  BOOT_TIMEOUT_SLACK_S,
  IDLE_HOLD_BOOT_FACTOR,
  LIVE_LEASE_FRACTION,
  LONG_IDLE_HOLD_MACHINES,
  MIN_IDLE_HOLD_S,
  TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS,
  SHARD_LOAD_GRACE_SPOT_SILENCES,
  SPOT_SILENCE_REPORT_INTERVALS,
  SURPLUS_IDLE_HOLD_BOOT_FACTOR,
  UNCONFIRMED_TOKEN_LEASES,
  UNKNOWN_TYPE_BOOT_S,
  USUAL_BOOT_FACTOR,
  USUAL_BOOT_SLACK_S,
  WORKER_LEASE_MARGIN_MS,
} from '../constants/machines.js';
import { TAKEOVER_WAIT_REPORT_INTERVALS } from '../constants/placement.js';
import type { SteadyClock, WallClock } from './ports.js';
import type { ShardContext } from './shard-context.js';
import type { ReleaseReason, ShardJob, ShardMachine } from './shard-model.js';

/** What `MachineLiveness` needs of its shard. */
export interface MachineLivenessDependencies
  extends SteadyClock, WallClock, Pick<ShardContext, 'catalog' | 'workers' | 'isBootBound'> {
  readonly machines: ReadonlyMap<string, ShardMachine>;
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

/** Assesses the machines of one shard. */
export class MachineLiveness {
  /** ms on the steady clock: when this holder had read the shard's runs; null: not yet. */
  loadedAt: number | null = null;
  /** ms: if no machine sends a heartbeat for this long, none reaches this controller. */
  readonly unreachableAfterMs: number;
  /** ms after loading: placement then begins without the machines that have not reported. */
  readonly rebuildTimeoutMs: number;
  /** ms: a spot machine that is silent for this long was most likely reclaimed by the cloud. */
  private readonly spotSilenceMs: number;
  /**
   * ms after a cancellation: a machine is released if a task of the cancelled job on it is not proven gone by
   * then.
   */
  readonly cancelledReleaseMs: number;
  /**
   * ms: a worker's full lease, with clock drift and a margin, which must pass after this holder's last answer
   * before the lease counts as expired.
   */
  readonly leaseMs: number;

  constructor(private readonly dependencies: MachineLivenessDependencies) {
    const reportMs = dependencies.workers.report_s * 1000;
    this.unreachableAfterMs = reportMs * UNREACHABLE_WORKERS_REPORT_INTERVALS;
    this.rebuildTimeoutMs = reportMs * TAKEOVER_WAIT_REPORT_INTERVALS;
    this.spotSilenceMs = reportMs * SPOT_SILENCE_REPORT_INTERVALS;
    this.cancelledReleaseMs = dependencies.workers.cancel_s * 1000 - CANCELLED_MACHINE_RELEASE_MARGIN_MS;
    this.leaseMs = dependencies.workers.lease_s * 1000 * (1 + CLOCK_DRIFT_FRACTION) + WORKER_LEASE_MARGIN_MS;
  }

  /** s: the nominal boot time of the machine; `fallback` if the catalog does not list its type. */
  private bootSecondsOf(machine: ShardMachine, fallback: number): number {
    return this.dependencies.catalog()?.get(machine.type)?.bootS ?? fallback;
  }

  /**
   * Whether the machine may still be booting: no worker heartbeat yet, nothing bound to it, and recorded less
   * than the boot timeout ago.
   */
  isBooting(machine: ShardMachine, wall = this.dependencies.wall()): boolean {
    return (
      machine.answeredAt === null &&
      machine.bound.size === 0 &&
      wall - machine.recordedAt <
        (this.bootSecondsOf(machine, UNKNOWN_TYPE_BOOT_S) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_SLACK_S) * 1000
    );
  }

  /**
   * Whether the machine is still within the usual boot time, so that its capacity counts as available soon.
   */
  isExpectedSoon(machine: ShardMachine, now: number, wall: number): boolean {
    // The machine came from another shard, where it was running and free; this holder is just announcing the
    // token to its worker.
    if (machine.addr !== '' && machine.answeredAt === null && machine.confirmedToken === 0)
      return now - machine.addedAt < TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS;
    return (
      this.isBooting(machine, wall) &&
      wall - machine.recordedAt <
        (this.bootSecondsOf(machine, 0) * USUAL_BOOT_FACTOR + USUAL_BOOT_SLACK_S) * 1000
    );
  }

  /**
   * Whether the worker's lease has expired: no heartbeat for `leaseMs` after this holder's last answer, or,
   * if it has not answered yet, after the loading of the shard or the addition of the machine.
   */
  isSilent(machine: ShardMachine, now: number): boolean {
    const from = machine.answeredAt ?? Math.max(this.loadedAt ?? now, machine.addedAt);
    return now - from > this.leaseMs;
  }

  /** Whether the worker has confirmed the token, and its last heartbeat is recent enough for new tasks. */
  isLive(machine: ShardMachine, now: number): boolean {
    return (
      machine.confirmedToken !== 0 && now - (machine.answeredAt ?? 0) < this.leaseMs * LIVE_LEASE_FRACTION
    );
  }

  /**
   * Whether the worker has confirmed the token, nothing is bound to the machine, and all reported tasks have
   * exited.
   */
  isIdle(machine: ShardMachine): boolean {
    return (
      machine.confirmedToken !== 0 &&
      machine.bound.size === 0 &&
      machine.reportedTasks.every((task) => task.state._tag === 'exited')
    );
  }

  /**
   * The number of machines whose workers should send heartbeats, and of those whose last heartbeat arrived
   * within `ms`. Until `ms` after the shard was loaded, `reporting` is one higher, so that it is not 0.
   */
  heartbeatCoverage(ms: number): { readonly machines: number; readonly reporting: number } {
    const now = this.dependencies.now();
    let machines = 0;
    let reporting = this.loadedAt === null || now - this.loadedAt < ms ? 1 : 0;
    for (const machine of this.dependencies.machines.values()) {
      if (machine.answeredAt === null && (now - machine.addedAt < ms || this.isBooting(machine))) continue;
      machines += 1;
      if (now - (machine.answeredAt ?? 0) < ms) reporting += 1;
    }
    return { machines, reporting };
  }

  /**
   * Whether the machines of a shard that was taken over have reported their tasks, or the time to do so has
   * passed.
   */
  isRebuilt(): boolean {
    if (this.dependencies.catalog() === null || this.loadedAt === null) return false;
    if (this.dependencies.now() - this.loadedAt > this.rebuildTimeoutMs) return true;
    return [...this.dependencies.machines.values()].every(
      (machine) => machine.confirmedToken !== 0 || machine.releasing || this.isBooting(machine),
    );
  }

  /**
   * Machines on which a task of a cancelled job is still not proven gone, at a time when only the cloud can
   * end it in time: a worker that hangs may resume within its lease, and each new holder would have to wait
   * for that lease again.
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
   * ms: how long an idle machine is held; `rank` is the number of machines of its kind that have been idle
   * for a shorter time.
   */
  private idleHoldMs(machine: ShardMachine, rank: number): number {
    const boots =
      !machine.spot && this.dependencies.isBootBound(machine.type)
        ? BOOT_BOUND_IDLE_HOLD_BOOT_FACTOR
        : rank < LONG_IDLE_HOLD_MACHINES
          ? IDLE_HOLD_BOOT_FACTOR
          : SURPLUS_IDLE_HOLD_BOOT_FACTOR;
    return Math.max(MIN_IDLE_HOLD_S, this.bootSecondsOf(machine, 0) * boots) * 1000;
  }

  /**
   * The machines to be released now, each with the reason; machines that are only idle are included if
   * `placing`.
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
    let unconfirmed = 0;
    let withinLease = 0;
    for (const machine of this.dependencies.machines.values()) {
      if (machine.answeredAt === null || now - machine.answeredAt >= this.leaseMs) continue;
      withinLease += 1;
      if (machine.unconfirmedSince !== null) unconfirmed += 1;
    }
    const { machines, reporting } = this.heartbeatCoverage(this.spotSilenceMs);
    return {
      receivesFromMost: reporting * 2 >= machines,
      reachesMost: unconfirmed * 2 <= withinLease,
      hasSettled:
        this.loadedAt !== null && now - this.loadedAt > this.spotSilenceMs * SHARD_LOAD_GRACE_SPOT_SILENCES,
    };
  }

  /** Why a machine is to be released regardless of its idle time; null: there is no reason. */
  private releaseReason(
    machine: ShardMachine,
    now: number,
    reachability: Reachability,
  ): ReleaseReason | null {
    // An urgent release was requested without a durable intent; the leader may still carry it out.
    if (machine.cordoned) return 'return was asked for';
    if (machine.answeredAt === null)
      return this.isSilent(machine, now) && !this.isBooting(machine) ? 'never came up' : null;
    if (this.isSilent(machine, now)) return 'silent';
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
      now - unconfirmedSince > this.leaseMs * UNCONFIRMED_TOKEN_LEASES
    )
      return 'does not hear';
    return machine.health._tag === 'quarantined' && machine.bound.size === 0 ? 'sick' : null;
  }

  /**
   * Selects the idle machines that have exceeded their hold time. Holding an idle machine for about what a
   * new one costs to boot bounds the regret of either choice. That is for the next gang or two: of many idle
   * machines, those that have been idle longest are released sooner.
   */
  private idleBeyondHold(group: readonly ShardMachine[], now: number): readonly MachineToRelease[] {
    return [...group]
      .sort((a, b) => (b.idleSince ?? 0) - (a.idleSince ?? 0))
      .filter((machine, rank) => now - (machine.idleSince ?? now) > this.idleHoldMs(machine, rank))
      .map((machine) => ({ machine, reason: 'idle' }));
  }

  /**
   * Updates the fields of machines that change with time; returns the machines whose lease has expired with
   * tasks bound to them.
   */
  updateAndFindExpired(): readonly ShardMachine[] {
    const now = this.dependencies.now();
    const expired: ShardMachine[] = [];
    const catalog = this.dependencies.catalog();
    for (const machine of this.dependencies.machines.values()) {
      const type = catalog?.get(machine.type);
      if (type && machine.total.cpus === 0) {
        machine.total = type;
        machine.free = null;
      }
      if (machine.health._tag === 'suspect' && now > machine.health.until)
        machine.health = { _tag: 'healthy' };
      if (machine.bound.size > 0 && machine.confirmedToken !== 0 && this.isSilent(machine, now))
        expired.push(machine);
      if (this.isIdle(machine)) machine.idleSince ??= now;
      else machine.idleSince = null;
    }
    return expired;
  }
}

/**
 * What may be concluded from a machine's heartbeats and its silence: alive, booting, idle, to be released.
 * Owns when the shard was loaded; of machines it changes `total`, `health` once a suspicion is over, and
 * `idleSince`. Rounds and `MachineLifecycle` ask it.
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

/** What the judgement of machines needs of their shard. */
export interface MachineLivenessDependencies
  extends SteadyClock, WallClock, Pick<ShardContext, 'catalog' | 'workers' | 'isBootBound'> {
  readonly machines: ReadonlyMap<string, ShardMachine>;
}

/** A machine that is to go back to the cloud, with the reason as the record and the log give it. */
export interface MachineToRelease {
  readonly machine: ShardMachine;
  readonly reason: ReleaseReason;
}

/** Whether silence speaks for a fault of machines, or of this controller. */
interface Reachability {
  /** This controller hears at least half of its machines. */
  readonly hearsMost: boolean;
  /** At least half of those that report take up its token. */
  readonly isHeardByMost: boolean;
  /** The shard was loaded long enough ago for its machines to have reported. */
  readonly hasSettledIn: boolean;
}

/** Judges the machines of one shard. */
export class MachineLiveness {
  /** ms on the steady clock: when this holder had read the shard's runs; null: not yet. */
  loadedAt: number | null = null;
  /** ms: when no machine is heard for as long, none reaches this controller. */
  readonly unreachableAfterMs: number;
  /** ms after loading: machines that have not reported by then are not waited for. */
  readonly rebuildTimeoutMs: number;
  /** ms: a spot machine that is silent for as long was most likely taken back. */
  private readonly spotSilenceMs: number;
  /**
   * ms after a cancellation: a machine on which one of its tasks isn't proven gone by then goes back to the
   * cloud.
   */
  readonly cancelledReleaseMs: number;
  /** ms: the full lease, with drift, that this holder must see pass after its last answer. */
  readonly leaseMs: number;

  constructor(private readonly dependencies: MachineLivenessDependencies) {
    const reportMs = dependencies.workers.report_s * 1000;
    this.unreachableAfterMs = reportMs * UNREACHABLE_WORKERS_REPORT_INTERVALS;
    this.rebuildTimeoutMs = reportMs * TAKEOVER_WAIT_REPORT_INTERVALS;
    this.spotSilenceMs = reportMs * SPOT_SILENCE_REPORT_INTERVALS;
    this.cancelledReleaseMs = dependencies.workers.cancel_s * 1000 - CANCELLED_MACHINE_RELEASE_MARGIN_MS;
    this.leaseMs = dependencies.workers.lease_s * 1000 * (1 + CLOCK_DRIFT_FRACTION) + WORKER_LEASE_MARGIN_MS;
  }

  /** s; `unknown`: where the type is not in the catalogue. */
  private bootSecondsOf(machine: ShardMachine, unknown: number): number {
    return this.dependencies.catalog()?.get(machine.type)?.bootS ?? unknown;
  }

  /** Never heard, and young enough that it may still come up. */
  isBooting(machine: ShardMachine, wall = this.dependencies.wall()): boolean {
    return (
      machine.answeredAt === null &&
      machine.bound.size === 0 &&
      wall - machine.recordedAt <
        (this.bootSecondsOf(machine, UNKNOWN_TYPE_BOOT_S) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_SLACK_S) * 1000
    );
  }

  /** Still within the time in which a machine usually comes up: its room counts as coming. */
  isExpectedSoon(machine: ShardMachine, now: number, wall: number): boolean {
    // It came from another shard, where it was up and free: its worker is just being told.
    if (machine.addr !== '' && machine.answeredAt === null && machine.confirmedToken === 0)
      return now - machine.addedAt < TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS;
    return (
      this.isBooting(machine, wall) &&
      wall - machine.recordedAt <
        (this.bootSecondsOf(machine, 0) * USUAL_BOOT_FACTOR + USUAL_BOOT_SLACK_S) * 1000
    );
  }

  /** Its lease has expired, as far as this holder's answers go. */
  isSilent(machine: ShardMachine, now: number): boolean {
    const from = machine.answeredAt ?? Math.max(this.loadedAt ?? now, machine.addedAt);
    return now - from > this.leaseMs;
  }

  /** It has taken up the token, and answered lately enough to be given work. */
  isLive(machine: ShardMachine, now: number): boolean {
    return (
      machine.confirmedToken !== 0 && now - (machine.answeredAt ?? 0) < this.leaseMs * LIVE_LEASE_FRACTION
    );
  }

  /** Nothing is bound to it, and nothing reported that has not exited. */
  isIdle(machine: ShardMachine): boolean {
    return (
      machine.confirmedToken !== 0 &&
      machine.bound.size === 0 &&
      machine.reportedTasks.every((task) => task.state._tag === 'exited')
    );
  }

  /** Machines that have reported, and those that did within the last `ms`. */
  heartbeatCoverage(ms: number): { readonly machines: number; readonly heard: number } {
    const now = this.dependencies.now();
    let machines = 0;
    let heard = this.loadedAt === null || now - this.loadedAt < ms ? 1 : 0;
    for (const machine of this.dependencies.machines.values()) {
      if (machine.answeredAt === null && (now - machine.addedAt < ms || this.isBooting(machine))) continue;
      machines += 1;
      if (now - (machine.answeredAt ?? 0) < ms) heard += 1;
    }
    return { machines, heard };
  }

  /** Have the machines of a shard that was taken over said what is on them, or had their time to? */
  isRebuilt(): boolean {
    if (this.dependencies.catalog() === null || this.loadedAt === null) return false;
    if (this.dependencies.now() - this.loadedAt > this.rebuildTimeoutMs) return true;
    return [...this.dependencies.machines.values()].every(
      (machine) => machine.confirmedToken !== 0 || machine.releasing || this.isBooting(machine),
    );
  }

  /**
   * Machines on which a task of a cancelled job is still not proven gone, late enough that only the cloud can
   * end it in time: one that hangs may come back within its lease, and each new holder would wait for that
   * lease anew.
   */
  machinesWithOverdueCancellations(jobs: Iterable<ShardJob>): readonly ShardMachine[] {
    const wall = this.dependencies.wall();
    const late = new Set<ShardMachine>();
    for (const job of jobs) {
      if (job.cancelledAt === null || wall - job.cancelledAt < this.cancelledReleaseMs) continue;
      for (const binding of job.bindings.values()) {
        const machine = this.dependencies.machines.get(binding.machine);
        if (machine) late.add(machine);
      }
    }
    return [...late];
  }

  /**
   * ms: how long an idle machine is held; `rank` counts the machines of its kind that have been idle for
   * longer.
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

  /** Machines to be released now, each with the reason. Looks at each machine once. */
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
    let reporting = 0;
    for (const machine of this.dependencies.machines.values()) {
      if (machine.answeredAt === null || now - machine.answeredAt >= this.leaseMs) continue;
      reporting += 1;
      if (machine.unconfirmedSince !== null) unconfirmed += 1;
    }
    const { machines, heard } = this.heartbeatCoverage(this.spotSilenceMs);
    return {
      hearsMost: heard * 2 >= machines,
      isHeardByMost: unconfirmed * 2 <= reporting,
      hasSettledIn:
        this.loadedAt !== null && now - this.loadedAt > this.spotSilenceMs * SHARD_LOAD_GRACE_SPOT_SILENCES,
    };
  }

  /** Why a machine is to be released whatever else there is to do; null: it is not. */
  private releaseReason(
    machine: ShardMachine,
    now: number,
    reachability: Reachability,
  ): ReleaseReason | null {
    // Its return was asked for while nothing could be written: the request may still be carried out.
    if (machine.cordoned) return 'return was asked for';
    if (machine.answeredAt === null)
      return this.isSilent(machine, now) && !this.isBooting(machine) ? 'never came up' : null;
    if (this.isSilent(machine, now)) return 'silent';
    /*
     * A spot machine that stopped reporting was most likely taken back without notice. Releasing it is proof
     * that its tasks are gone, long before its lease would be; if it was only cut off, little is lost.
     */
    const spotSilent = machine.spot && now - machine.answeredAt >= this.spotSilenceMs;
    if (spotSilent && reachability.hearsMost && reachability.hasSettledIn) return 'spot silent';
    // It reports, and yet does not take up the token for longer than its lease: answers do not reach it.
    const { unconfirmedSince } = machine;
    if (
      unconfirmedSince !== null &&
      reachability.isHeardByMost &&
      now - unconfirmedSince > this.leaseMs * UNCONFIRMED_TOKEN_LEASES
    )
      return 'does not hear';
    return machine.health._tag === 'quarantined' && machine.bound.size === 0 ? 'sick' : null;
  }

  /**
   * Holding an idle machine for about what a new one costs to bring up bounds the regret either way. That is
   * for the next gang or two; of many idle machines, those that have been so longest go sooner.
   */
  private idleBeyondHold(group: readonly ShardMachine[], now: number): readonly MachineToRelease[] {
    return [...group]
      .sort((a, b) => (b.idleSince ?? 0) - (a.idleSince ?? 0))
      .filter((machine, rank) => now - (machine.idleSince ?? now) > this.idleHoldMs(machine, rank))
      .map((machine) => ({ machine, reason: 'idle' }));
  }

  /** Bookkeeping of what only time changes; returns the machines whose lease is over with tasks bound. */
  updateAndFindExpired(): readonly ShardMachine[] {
    const now = this.dependencies.now();
    const over: ShardMachine[] = [];
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
        over.push(machine);
      if (this.isIdle(machine)) machine.idleSince ??= now;
      else machine.idleSince = null;
    }
    return over;
  }
}

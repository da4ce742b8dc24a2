/**
 * Derives the state of machines from the heartbeats and the silence of their workers: live, booting, idle,
 * silent. Owns the time when the shard was loaded; of machines it sets `total`, `free`, `idleSince`, and
 * `health` once a suspicion has expired. Rounds, `MachineReleases` and `MachineLifecycle` call it.
 */
import { CLOCK_DRIFT_FRACTION, UNREACHABLE_WORKERS_REPORT_INTERVALS } from '../constants/leases.js';
import {
  BOOT_TIMEOUT_FACTOR,
  BOOT_TIMEOUT_SLACK_S,
  LIVE_LEASE_FRACTION,
  TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS,
  UNKNOWN_TYPE_BOOT_S,
  USUAL_BOOT_FACTOR,
  USUAL_BOOT_SLACK_S,
  WORKER_LEASE_MARGIN_MS,
} from '../constants/machines.js';
import { TAKEOVER_WAIT_REPORT_INTERVALS } from '../constants/placement.js';
import type { SteadyClock, WallClock } from './ports.js';
import type { ShardContext } from './shard-context.js';
import type { ShardMachine } from './shard-model.js';

/** What `MachineLiveness` needs of its shard. */
export interface MachineLivenessDependencies
  extends SteadyClock, WallClock, Pick<ShardContext, 'catalog' | 'workers'> {
  readonly machines: ReadonlyMap<string, ShardMachine>;
}

/** Assesses the machines of one shard. */
export class MachineLiveness {
  /** ms on the steady clock: when this holder had read the shard's runs; null: not yet. */
  loadedAt: number | null = null;
  /** ms: if no heartbeat arrives for this long, no worker reaches this controller. */
  readonly unreachableAfterMs: number;
  /**
   * ms after loading: placement then begins without the machines whose workers have not confirmed the token.
   */
  readonly rebuildTimeoutMs: number;
  /**
   * ms: a worker's full lease, with clock drift and a margin, which must pass after this holder's last answer
   * before the lease counts as expired.
   */
  readonly leaseMs: number;

  constructor(private readonly dependencies: MachineLivenessDependencies) {
    const reportMs = dependencies.workers.report_s * 1000;
    this.unreachableAfterMs = reportMs * UNREACHABLE_WORKERS_REPORT_INTERVALS;
    this.rebuildTimeoutMs = reportMs * TAKEOVER_WAIT_REPORT_INTERVALS;
    this.leaseMs = dependencies.workers.lease_s * 1000 * (1 + CLOCK_DRIFT_FRACTION) + WORKER_LEASE_MARGIN_MS;
  }

  /** s: the nominal boot time of the machine; `fallback` if the catalog does not list its type. */
  bootSecondsOf(machine: ShardMachine, fallback: number): number {
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
    // An earlier holder wrote the address into the record, usually in order to transfer the machine, which
    // was running and free; this holder is just announcing the token to its worker.
    if (machine.addr !== '' && machine.answeredAt === null && machine.confirmedToken === 0)
      return now - machine.addedAt < TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS;
    return (
      this.isBooting(machine, wall) &&
      wall - machine.recordedAt <
        (this.bootSecondsOf(machine, 0) * USUAL_BOOT_FACTOR + USUAL_BOOT_SLACK_S) * 1000
    );
  }

  /**
   * Whether the worker's lease has expired: more than `leaseMs` have passed since `answeredAt`. If that is
   * null, the time counts from the loading of the shard or the addition of the machine, whichever was later.
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
   * The number of machines whose workers should send heartbeats (`machines`), and how many of them sent the
   * last one within `ms` (`reporting`). Until `ms` after the shard was loaded, `reporting` is one higher, so
   * that it is not 0.
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
   * Whether a shard that was taken over is rebuilt. The catalog must be known, and either the worker of each
   * machine has confirmed the token, apart from machines that are being released or may be booting, or more
   * than `rebuildTimeoutMs` have passed since the loading of the shard.
   */
  isRebuilt(): boolean {
    if (this.dependencies.catalog() === null || this.loadedAt === null) return false;
    if (this.dependencies.now() - this.loadedAt > this.rebuildTimeoutMs) return true;
    return [...this.dependencies.machines.values()].every(
      (machine) => machine.confirmedToken !== 0 || machine.releasing || this.isBooting(machine),
    );
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

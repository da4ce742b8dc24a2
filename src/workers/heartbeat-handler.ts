/**
 * Where workers report. Answers reports of machines in this controller's shards, names the responsible
 * controller to the others, and has the leader adopt machines without a record. The router calls it for each
 * report.
 */
import { readClaim } from '../claims/codec.js';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { MAX_HEARTBEAT_RESPONSE_DELAY_MS } from '../constants/workers.js';
import { readMachineRecord } from '../fleet/machine-record-codec.js';
import type { ServerResponse } from '../http/model.js';
import { claimKey, machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readWorkerHeartbeat, writeCommands, writeRedirect } from './codec.js';
import type { Command, WorkerHeartbeat } from './model.js';

/** What the handler needs of a shard. */
interface ReportingShard {
  /**
   * Takes in a report; `awaitRound`: the next round may have commands for it. Null: the machine is not the
   * shard's.
   */
  onHeartbeat(heartbeat: WorkerHeartbeat): { readonly awaitRound: boolean } | null;
  /** Resolves with the next round that concerns the machine, or after so many ms. */
  nextRound(machine: string, ms: number): Promise<void>;
  /** The answer to a report; null: the machine is not the shard's. */
  orders(
    heartbeat: WorkerHeartbeat,
  ): { readonly token: number; readonly commands: readonly Command[] } | null;
}

/** What the handler needs of the rest of the controller. */
export interface WorkerHeartbeatHandlerDependencies {
  /** Name of this controller. */
  readonly ownNode: string;
  readonly cache: WatchCache;
  /** The steady clock, ms. */
  readonly now: () => number;
  /** The shard, if this controller may answer for it now; else null. */
  readonly shard: (shardId: number) => ReportingShard | null;
  /** Has the leader adopt the machine; false: this controller does not lead. */
  readonly adopt: (heartbeat: WorkerHeartbeat) => boolean;
}

interface MisroutedHeartbeat {
  readonly shardId: number;
  /** ms, by the steady clock. */
  readonly at: number;
}

const MALFORMED: ServerResponse = { status: 400, body: { error: 'malformed report' } };
/** The worker reports again soon. */
const RETRY_LATER: ServerResponse = { status: 503 };

const redirectTo = (holder: string | undefined): ServerResponse => ({
  status: 421,
  body: writeRedirect(holder),
});

/** State: for each machine its last report that came here although another controller holds its shard. */
export class WorkerHeartbeatHandler {
  private readonly misroutedHeartbeats = new Map<string, MisroutedHeartbeat>();

  constructor(private readonly dependencies: WorkerHeartbeatHandlerDependencies) {}

  /**
   * By shard: machines of other controllers' shards that reported here lately, as their holder can't be
   * reached.
   */
  misroutedCounts(withinMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [machine, { shardId, at }] of this.misroutedHeartbeats) {
      if (this.dependencies.now() - at > withinMs) this.misroutedHeartbeats.delete(machine);
      else counts[shardId] = (counts[shardId] ?? 0) + 1;
    }
    return counts;
  }

  /** Answers the body of a report. */
  async handle(body: unknown): Promise<ServerResponse> {
    const heartbeat = readWorkerHeartbeat(body);
    if (!heartbeat) return MALFORMED;
    const entry = this.dependencies.cache.get(machineKey(heartbeat.machine));
    if (!entry) return this.answerUnknownMachine(heartbeat);
    const { shardId } = readMachineRecord(entry.value);
    const holder = this.holder(String(shardId));
    if (holder !== this.dependencies.ownNode) {
      this.misroutedHeartbeats.set(heartbeat.machine, { shardId, at: this.dependencies.now() });
      return redirectTo(holder);
    }
    this.misroutedHeartbeats.delete(heartbeat.machine);
    return this.answerOwnMachine(shardId, heartbeat);
  }

  private answerUnknownMachine(heartbeat: WorkerHeartbeat): ServerResponse {
    const leader = this.holder(LEADER_CLAIM);
    if (this.dependencies.adopt(heartbeat) || leader === this.dependencies.ownNode) return RETRY_LATER;
    return redirectTo(leader);
  }

  private async answerOwnMachine(shardId: number, heartbeat: WorkerHeartbeat): Promise<ServerResponse> {
    const received = this.dependencies.shard(shardId)?.onHeartbeat(heartbeat) ?? null;
    if (received?.awaitRound)
      await this.dependencies.shard(shardId)?.nextRound(heartbeat.machine, MAX_HEARTBEAT_RESPONSE_DELAY_MS);
    // Asked again after the wait: the claim may have gone meanwhile.
    const orders = received ? (this.dependencies.shard(shardId)?.orders(heartbeat) ?? null) : null;
    if (!orders) return RETRY_LATER;
    return { status: 200, body: writeCommands(orders.token, orders.commands) };
  }

  /** The controller that has the claim; undefined: none. */
  private holder(claimName: string): string | undefined {
    const entry = this.dependencies.cache.get(claimKey(claimName));
    return entry && readClaim(entry.value).node;
  }
}

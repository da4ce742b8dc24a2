import { readClaim } from '../claims/codec.js';
import { MAX_REPORT_ANSWER_DELAY_MS } from '../constants/workers.js';
import type { ServerResponse } from '../http.js';
import { claimKey, machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readMachineRecord } from '../fleet/records.js';
import { readWorkerHeartbeat, writeOrders, writeRedirect } from './codec.js';
import type { Command, WorkerHeartbeat } from './model.js';

/** Where workers report: answers those of our shares, shows the others the way. */
export interface WorkerHeartbeatHandlerDependencies {
  readonly me: string;
  readonly cache: WatchCache;
  readonly now: () => number;
  /** The share with this number, if this node may answer for it now. */
  readonly shard: (shardId: number) => {
    onHeartbeat(heartbeat: WorkerHeartbeat): { readonly awaitRound: boolean } | null;
    nextRound(machine: string, ms: number): Promise<void>;
    orders(
      heartbeat: WorkerHeartbeat,
    ): { readonly token: number; readonly commands: readonly Command[] } | null;
  } | null;
  readonly adopt: (heartbeat: WorkerHeartbeat) => boolean;
}

const elsewhere = (holderNode: string | undefined): ServerResponse => ({
  status: 421,
  body: writeRedirect(holderNode),
});

/** Answers reports of workers, or names the node that does. */
export class WorkerHeartbeatHandler {
  private readonly misroutedHeartbeats = new Map<string, { shardId: number; at: number }>();
  constructor(private readonly input: WorkerHeartbeatHandlerDependencies) {}

  /** Machines of other nodes' shares that reported here lately, by share: their holder can't hear them. */
  misroutedCounts(withinMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [id, misrouted] of this.misroutedHeartbeats) {
      if (this.input.now() - misrouted.at > withinMs) this.misroutedHeartbeats.delete(id);
      else counts[misrouted.shardId] = (counts[misrouted.shardId] ?? 0) + 1;
    }
    return counts;
  }

  private holder(claimName: string): string | undefined {
    const item = this.input.cache.get(claimKey(claimName));
    return item && readClaim(item.value).node;
  }

  async handle(value: unknown): Promise<ServerResponse> {
    const heartbeat = readWorkerHeartbeat(value);
    if (!heartbeat) return { status: 400, body: { error: 'malformed report' } };
    const item = this.input.cache.get(machineKey(heartbeat.machine));
    if (!item) {
      const holderNode = this.holder('L');
      if (this.input.adopt(heartbeat) || holderNode === this.input.me) return { status: 503 };
      return elsewhere(holderNode);
    }
    const { shardId } = readMachineRecord(item.value);
    const holder = this.holder(String(shardId));
    if (holder !== this.input.me) {
      this.misroutedHeartbeats.set(heartbeat.machine, { shardId, at: this.input.now() });
      return elsewhere(holder);
    }
    this.misroutedHeartbeats.delete(heartbeat.machine);
    const heard = this.input.shard(shardId)?.onHeartbeat(heartbeat) ?? null;
    if (heard?.awaitRound)
      await this.input.shard(shardId)?.nextRound(heartbeat.machine, MAX_REPORT_ANSWER_DELAY_MS);
    // Asked again after the wait: the claim may have gone meanwhile.
    const orders = heard ? (this.input.shard(shardId)?.orders(heartbeat) ?? null) : null;
    if (!orders) return { status: 503 };
    return { status: 200, body: writeOrders(orders.token, orders.commands) };
  }
}

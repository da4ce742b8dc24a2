import { readClaim } from '../claims/codec.js';
import { MAX_REPORT_ANSWER_DELAY_MS } from '../constants/workers.js';
import type { Reply } from '../http.js';
import { claimKey, machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readMachineRecord } from '../fleet/records.js';
import { readReport, writeOrders } from './codec.js';
import type { Command, Report } from './model.js';

/** Where workers report: answers those of our shares, shows the others the way. */
export interface ReportHandlerInput {
  readonly me: string;
  readonly cache: WatchCache;
  readonly now: () => number;
  /** The share with this number, if this node may answer for it now. */
  readonly shard: (shardId: number) => {
    onReport(report: Report): { readonly hurry: boolean } | null;
    nextRound(machine: string, ms: number): Promise<void>;
    orders(report: Report): { readonly token: number; readonly commands: readonly Command[] } | null;
  } | null;
  readonly adopt: (report: Report) => boolean;
}

const elsewhere = (boss: string | undefined): Reply => ({
  status: 421,
  body: boss === undefined ? {} : { boss },
});

/** Answers reports of workers, or names the node that does. */
export class ReportHandler {
  private readonly strays = new Map<string, { shardId: number; at: number }>();
  constructor(private readonly input: ReportHandlerInput) {}

  /** Machines of other nodes' shares that reported here lately, by share: their holder can't hear them. */
  strayCounts(withinMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [id, stray] of this.strays) {
      if (this.input.now() - stray.at > withinMs) this.strays.delete(id);
      else counts[stray.shardId] = (counts[stray.shardId] ?? 0) + 1;
    }
    return counts;
  }

  private holder(claimName: string): string | undefined {
    const item = this.input.cache.get(claimKey(claimName));
    return item && readClaim(item.value).node;
  }

  async handle(value: unknown): Promise<Reply> {
    const report = readReport(value);
    if (!report) return { status: 400, body: { error: 'malformed report' } };
    const item = this.input.cache.get(machineKey(report.machine));
    if (!item) {
      const boss = this.holder('L');
      if (this.input.adopt(report) || boss === this.input.me) return { status: 503 };
      return elsewhere(boss);
    }
    const { shardId } = readMachineRecord(item.value);
    const holder = this.holder(String(shardId));
    if (holder !== this.input.me) {
      this.strays.set(report.machine, { shardId, at: this.input.now() });
      return elsewhere(holder);
    }
    this.strays.delete(report.machine);
    const heard = this.input.shard(shardId)?.onReport(report) ?? null;
    if (heard?.hurry) await this.input.shard(shardId)?.nextRound(report.machine, MAX_REPORT_ANSWER_DELAY_MS);
    // Asked again after the wait: the claim may have gone meanwhile.
    const orders = heard ? (this.input.shard(shardId)?.orders(report) ?? null) : null;
    if (!orders) return { status: 503 };
    return { status: 200, body: writeOrders(orders.token, orders.commands) };
  }
}

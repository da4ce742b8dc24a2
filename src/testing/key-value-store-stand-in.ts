/**
 * Stand-in for the state service, written to the published protocol: keys with revisions, leases, watches,
 * transactions.
 */
import type { CallOutcome } from '../http/model.js';

/** A map as it comes from the wire. */
export type WireRecord = Record<string, unknown>;
/** An answer of a stand-in. */
export const reply = (status: number, body: unknown = {}): CallOutcome => ({
  _tag: 'response',
  status,
  body,
});
/** What crosses the network is a copy. */
export const copy = <T>(value: T): T => structuredClone(value);

/** The state service. */
export class KeyValueStoreStandIn {
  private epoch = 0;
  private readonly data = new Map<string, { value: unknown; version: number; lease: number | null }>();
  private readonly leases = new Map<number, { until: number; ttl: number }>();
  private readonly news: { key: string; value?: unknown; version: number }[] = [];
  private lastLease = 0;
  down = false;
  /** bytes of one value and changes of one transaction, at most; what passed them. */
  limits = { maxValueBytes: 16 * 1024, maxTransactionWrites: 32 };
  readonly oversizedTransactions: string[] = [];
  /** Told of every put, with the revision that it got. */
  onPut: (key: string, value: unknown, version: number) => void = () => undefined;
  /** Told of every lease that ended, with the keys that went with it. */
  onLeaseEnd: (lease: number, keys: readonly string[]) => void = () => undefined;
  /** Nodes that alone are refused. */
  readonly refused = new Set<string>();

  private expireLeases(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) {
      if (Date.now() <= lease.until) continue;
      this.leases.delete(id);
      const keys = [...this.data].filter(([, entry]) => entry.lease === id).map(([key]) => key);
      if (keys.length > 0) this.epoch += 1;
      for (const key of keys) this.remove(key);
      this.onLeaseEnd(id, keys);
    }
  }
  private remove(key: string): void {
    if (this.data.delete(key)) this.news.push({ key, version: this.epoch });
  }
  setOutage(on: boolean): void {
    this.expireLeases();
    this.down = on;
    // Once an outage ends, every lease has its full time again.
    if (!on) for (const lease of this.leases.values()) lease.until = Date.now() + lease.ttl;
  }
  value(key: string): unknown {
    return this.data.get(key)?.value;
  }
  /** The revision of a key; 0: there is none. */
  version(key: string): number {
    this.expireLeases();
    return this.data.get(key)?.version ?? 0;
  }
  keys(prefix: string): string[] {
    return [...this.data.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  async handle(from: string, method: string, path: string, body: unknown): Promise<CallOutcome> {
    this.expireLeases();
    const [route, query] = path.split('?', 2);
    const params = new URLSearchParams(query ?? '');
    if (route === '/follow') return this.watch(from, params);
    if (this.down || this.refused.has(from)) return reply(503);
    if (route === '/txn') return this.compareAndSwap(body as WireRecord);
    if (route === '/holds') {
      this.lastLease += 1;
      const ttl = (body as { ttlMs: number }).ttlMs;
      this.leases.set(this.lastLease, { until: Date.now() + ttl, ttl });
      return reply(200, { permit: this.lastLease });
    }
    const renew = /^\/holds\/(\d+)\/renew$/.exec(route ?? '');
    if (renew) {
      const lease = this.leases.get(Number(renew[1]));
      if (!lease) return reply(404);
      lease.until = Date.now() + lease.ttl;
      return reply(200, { permit: Number(renew[1]) });
    }
    if (route === '/store') {
      const after = params.get('since') ?? '';
      const keys = this.keys(params.get('under') ?? '').filter((key) => key > after);
      const most = Number(params.get('most') ?? 1000);
      const rows = keys.slice(0, most).map((key) => this.row(key));
      return reply(200, { rows: copy(rows), more: keys.length > most, epoch: this.epoch });
    }
    const key = (route ?? '').slice('/store/'.length);
    return this.data.has(key) ? reply(200, copy(this.row(key))) : reply(404, { epoch: this.epoch });
  }
  private row(key: string): WireRecord {
    const entry = this.data.get(key);
    return { path: key, data: entry?.value, brandMark: entry?.version };
  }

  private compareAndSwap(body: WireRecord): CallOutcome {
    const when = body['when'] as { path: string; brandMark: number }[];
    const writes = body['writes'] as (
      { write: string; data: unknown; permit?: number } | { remove: string }
    )[];
    const sizes = writes.map((write) =>
      'write' in write ? Buffer.byteLength(JSON.stringify(write.data)) : 0,
    );
    const large = sizes.findIndex((size) => size > this.limits.maxValueBytes);
    if (
      large >= 0 ||
      writes.length > this.limits.maxTransactionWrites ||
      when.length > 4 * this.limits.maxTransactionWrites
    ) {
      const key = large >= 0 ? JSON.stringify(writes[large]).slice(0, 60) : '';
      this.oversizedTransactions.push(
        `${key} ${sizes[large] ?? 0} B, ${writes.length} changes, ${when.length} conditions`,
      );
      return reply(400, { error: 'too large' });
    }
    for (const write of writes) {
      if ('write' in write && write.permit !== undefined && !this.leases.has(write.permit)) {
        return reply(400, { error: 'no such lease' });
      }
    }
    const failed = when.filter(
      (condition) => (this.data.get(condition.path)?.version ?? 0) !== condition.brandMark,
    );
    if (failed.length > 0)
      return reply(409, { failed: failed.map((condition) => condition.path), epoch: this.epoch });
    if (writes.length > 0) this.epoch += 1;
    for (const write of writes) {
      if ('write' in write) {
        this.data.set(write.write, {
          value: copy(write.data),
          version: this.epoch,
          lease: write.permit ?? null,
        });
        this.news.push({ key: write.write, value: copy(write.data), version: this.epoch });
        this.onPut(write.write, write.data, this.epoch);
      } else this.remove(write.remove);
    }
    return reply(200, { epoch: this.epoch });
  }

  private async watch(from: string, params: URLSearchParams): Promise<CallOutcome> {
    const since = Number(params.get('since'));
    const until = Date.now() + Number(params.get('waitMs') ?? 0);
    const prefix = params.get('under') ?? '';
    for (;;) {
      const blocked = this.down || this.refused.has(from);
      this.expireLeases();
      const found = this.news.filter((event) => event.version > since && event.key.startsWith(prefix));
      if (!blocked && (found.length > 0 || Date.now() >= until)) {
        const news = found.map((event) =>
          event.value === undefined
            ? { remove: event.key, brandMark: event.version }
            : { write: event.key, data: copy(event.value), brandMark: event.version },
        );
        return reply(200, { epoch: this.epoch, news });
      }
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }
}

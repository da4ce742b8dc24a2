/**
 * Stand-in for the state service, after "Controller nodes -> state service" of the protocol: keys with
 * revisions, transactions, leases, watches, limits. Every controller has a port of its own, so that a fault
 * can be meant for one controller.
 */
import { serve, sleep } from './wire.mjs';

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1_000;

/** Admits `rate` units a second, with bursts worth one second. */
class Budget {
  constructor(rate) {
    this.rate = rate;
    this.left = rate;
    this.at = performance.now();
  }
  take(units) {
    const now = performance.now();
    this.left = Math.min(this.rate, this.left + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.left < units) return false;
    this.left -= units;
    return true;
  }
}

export class StateService {
  epoch = 0;
  data = new Map();
  leases = new Map();
  changes = [];
  lastLease = 0;
  /** Whether every controller gets 503. */
  down = false;
  /** Controllers that alone get 503. */
  refused = new Set();
  /** Controllers whose requests arrive and are carried out, while every answer to them is lost. */
  unheard = new Set();
  servers = [];

  constructor({ rps, write_rps, value_kb, txn_ops }) {
    this.requests = new Budget(rps);
    this.writes = new Budget(write_rps);
    this.maxValueBytes = value_kb * 1024;
    this.maxWrites = txn_ops;
  }

  async listen(node, port) {
    const handle = async (request) => {
      const answer = await this.handle(node, request);
      return this.unheard.has(node) ? null : answer;
    };
    this.servers.push(await serve(port, handle));
  }
  close() {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  setDown(down) {
    this.expireLeases();
    this.down = down;
    if (!down) for (const lease of this.leases.values()) lease.until = performance.now() + lease.ttlMs;
  }

  expireLeases() {
    if (this.down) return;
    for (const [id, lease] of this.leases) if (performance.now() > lease.until) this.endLease(id);
  }
  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.data].filter(([, entry]) => entry.permit === id).map(([key]) => key);
    if (keys.length > 0) this.epoch += 1;
    for (const key of keys) this.remove(key);
  }

  remove(key) {
    if (this.data.delete(key)) this.note({ remove: key, brandMark: this.epoch });
  }
  note(change) {
    this.changes.push(change);
    if (this.changes.length > KEPT_CHANGES) this.changes.shift();
  }

  async handle(node, { method, path, query, body }) {
    this.expireLeases();
    const watch = path === '/follow';
    const refused = this.down || this.refused.has(node);
    if (refused && !watch) return { status: 503, body: {} };
    if (!this.requests.take(1)) return { status: 429, body: {} };
    if (watch) return this.follow(node, query);
    if (path === '/txn') return this.transact(body);
    if (path === '/holds') {
      this.lastLease += 1;
      this.leases.set(this.lastLease, { ttlMs: body.ttlMs, until: performance.now() + body.ttlMs });
      return { status: 200, body: { permit: this.lastLease } };
    }
    const hold = /^\/holds\/(\d+)(\/renew)?$/.exec(path);
    if (hold) return this.hold(Number(hold[1]), method);
    if (path === '/store') return this.list(query);
    const key = decodeURIComponent(path.slice('/store/'.length));
    const entry = this.data.get(key);
    return entry
      ? {
          status: 200,
          body: { path: key, data: entry.data, brandMark: entry.brandMark, permit: entry.permit },
        }
      : { status: 404, body: { epoch: this.epoch } };
  }

  hold(id, method) {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(id);
    else lease.until = performance.now() + lease.ttlMs;
    return { status: 200, body: { permit: id } };
  }

  list(query) {
    const under = query.get('under') ?? '';
    const since = query.get('since') ?? '';
    const most = Math.min(MAX_ITEMS, Number(query.get('most') ?? MAX_ITEMS));
    const keys = [...this.data.keys()].filter((key) => key.startsWith(under) && key > since).sort();
    const rows = keys.slice(0, most).map((key) => {
      const { data, brandMark } = this.data.get(key);
      return { path: key, data, brandMark };
    });
    return { status: 200, body: { rows, more: keys.length > most, epoch: this.epoch } };
  }

  transact({ when, writes }) {
    if (writes.length > 0 && !this.writes.take(writes.length)) return { status: 429, body: {} };
    const tooLarge = writes.some(
      (write) => 'write' in write && Buffer.byteLength(JSON.stringify(write.data)) > this.maxValueBytes,
    );
    if (tooLarge || writes.length > this.maxWrites || when.length > 4 * this.maxWrites)
      return { status: 400, body: { error: 'too large' } };
    for (const write of writes)
      if (write.permit !== undefined && write.permit !== null && !this.leases.has(write.permit))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = when
      .filter(({ path, brandMark }) => (this.data.get(path)?.brandMark ?? 0) !== brandMark)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (writes.length > 0) this.epoch += 1;
    for (const write of writes) {
      if (!('write' in write)) {
        this.remove(write.remove);
        continue;
      }
      const entry = { data: write.data, brandMark: this.epoch, permit: write.permit ?? null };
      this.data.set(write.write, entry);
      this.note({ write: write.write, data: write.data, brandMark: this.epoch });
    }
    return { status: 200, body: { epoch: this.epoch } };
  }

  async follow(node, query) {
    const under = query.get('under') ?? '';
    const since = Number(query.get('since'));
    const until = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      this.expireLeases();
      const blocked = this.down || this.refused.has(node);
      if (!blocked) {
        const first = this.changes[0]?.brandMark ?? 0;
        if (this.changes.length >= KEPT_CHANGES && since < first - 1) return { status: 410, body: {} };
        const news = [];
        for (let index = this.changes.length - 1; index >= 0; index -= 1) {
          const change = this.changes[index];
          if (change.brandMark <= since) break;
          if ((change.write ?? change.remove).startsWith(under)) news.unshift(change);
        }
        if (news.length > 0 || performance.now() >= until)
          return { status: 200, body: { epoch: this.epoch, news } };
      }
      await sleep(10);
    }
  }
}

/**
 * Guards against acting on a claim of an earlier lease: a controller whose lease had ended acted on the
 * claims that its copy of the keys still showed as soon as it had a new lease, while a successor held them.
 */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import { CONTROLLER_LEASE_RENEWAL_INTERVAL_MS } from '../constants/leases.js';
import type { CallOutcome } from '../http/model.js';
import { KeyValueStore } from '../kv-store/client.js';
import { claimKey } from '../kv-store/keys.js';
import { WatchCache } from '../kv-store/watch-cache.js';
import { LEADER_CLAIM } from './claim-decisions.js';
import { writeClaim } from './codec.js';
import { LeaseManager } from './lease-manager.js';

const TURNS = 20;
const SELF = { node: 'n0', incarnation: 'n0.1' };
const respond = (status: number, body: unknown): CallOutcome => ({ _tag: 'response', status, body });

const turns = async (): Promise<void> => {
  for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

/** A store as far as leases need one. What its watch would show, the test puts into the copy itself. */
class LeaseStore {
  private lastLease = 0;
  /** The present lease; null: it has ended. */
  lease: number | null = null;
  revision = 0;
  /** Reads of the claims are answered 503. */
  readsFail = false;
  reads = 0;

  readonly request = (_method: string, path: string): Promise<CallOutcome> =>
    Promise.resolve(this.answer(path));

  private answer(path: string): CallOutcome {
    if (path === '/holds') {
      this.lastLease += 1;
      this.lease = this.lastLease;
      return respond(200, { permit: this.lease });
    }
    if (path.startsWith('/holds/'))
      return path === `/holds/${this.lease}/renew` ? respond(200, { permit: this.lease }) : respond(404, {});
    if (!path.startsWith('/store?')) return respond(503, {});
    this.reads += 1;
    return this.readsFail ? respond(503, {}) : respond(200, { rows: [], more: false, epoch: this.revision });
  }
}

/** A controller's leases between a store and a copy of the keys that shows what the test says. */
const start = () => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000 });
  const now = (): number => Date.now();
  const leaseStore = new LeaseStore();
  const store = new KeyValueStore(
    { host: 'h', port: 1 },
    { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: 10, nodes: 1 },
    now,
    () => ({ request: leaseStore.request }),
  );
  const cache = new WatchCache(store, now);
  const leases = new LeaseManager(store, cache, {
    self: SELF,
    controllers: ['n0', 'n1'],
    peers: () => [],
    outageGraceUntil: () => null,
    unreachableShards: () => new Map(),
    now,
    shardCount: 1,
  });
  const fiber = Effect.runFork(leases.run);
  const claimShown = (claimName: string, version: number): void =>
    cache.apply({ _tag: 'put', entry: { key: claimKey(claimName), value: writeClaim(SELF), version } });
  return {
    leaseStore,
    leases,
    claimShown,
    claimGone: (claimName: string, version: number): void =>
      cache.apply({ _tag: 'delete', key: claimKey(claimName), version }),
    /** Time in which the lease is renewed, or found to have ended and asked for anew. */
    renew: async (): Promise<void> => {
      mock.timers.tick(CONTROLLER_LEASE_RENEWAL_INTERVAL_MS);
      await turns();
    },
    stop: async (): Promise<void> => {
      Effect.runFork(Fiber.interrupt(fiber));
      await turns();
      mock.timers.reset();
    },
  };
};

const CLAIM_NAMES = [LEADER_CLAIM, '0'];
for (const claimName of CLAIM_NAMES) {
  test(`lease: a new lease gives no right to claim ${claimName} of the lease before`, async () => {
    const controller = start();
    const { leaseStore, leases } = controller;
    try {
      await turns();
      controller.claimShown(claimName, 5);
      leaseStore.revision = 5;
      assert.equal(leases.actingClaimRevision(claimName), 5, 'under the first lease');

      // The lease ends and a successor takes the claim; the copy of the keys shows neither yet.
      leaseStore.lease = null;
      leaseStore.revision = 7;
      await controller.renew();
      assert.equal(leases.lease, 2, 'there is a new lease');
      assert.equal(leases.heldClaimRevision(claimName), 5, 'the copy still shows the old claim');
      assert.equal(leases.actingClaimRevision(claimName), null, 'which is another process’s by now');

      // A claim of the lease before that shows late only.
      controller.claimShown(claimName, 6);
      assert.equal(leases.actingClaimRevision(claimName), null);
      controller.claimGone(claimName, 7);
      assert.equal(leases.actingClaimRevision(claimName), null);

      controller.claimShown(claimName, 9);
      assert.equal(leases.actingClaimRevision(claimName), 9, 'taken under the new lease');
      await controller.renew();
      assert.equal(leases.actingClaimRevision(claimName), 9, 'a renewal changes nothing');
    } finally {
      await controller.stop();
    }
  });
}

test('lease: without knowing where the claims of the lease before end there is no new one', async () => {
  const controller = start();
  const { leaseStore, leases } = controller;
  try {
    await turns();
    controller.claimShown(LEADER_CLAIM, 5);
    leaseStore.lease = null;
    leaseStore.revision = 7;
    leaseStore.readsFail = true;
    await controller.renew();
    assert.equal(leases.actingClaimRevision(LEADER_CLAIM), null);
    await controller.renew();
    assert.equal(leases.actingClaimRevision(LEADER_CLAIM), null);
    leaseStore.readsFail = false;
    await controller.renew();
    controller.claimShown(LEADER_CLAIM, 9);
    assert.equal(leases.actingClaimRevision(LEADER_CLAIM), 9);
  } finally {
    await controller.stop();
  }
});

test('lease: the first lease of a process costs no read', async () => {
  const controller = start();
  try {
    await turns();
    assert.equal(controller.leases.lease, 1);
    assert.equal(controller.leaseStore.reads, 0);
  } finally {
    await controller.stop();
  }
});

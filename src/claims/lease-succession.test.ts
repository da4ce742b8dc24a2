/**
 * Guards against acting on a claim of an earlier lease. A controller whose lease had ended obtained a new
 * lease while its watch cache still showed its old claims, and acted on them although a successor held them.
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

const EVENT_LOOP_TURNS = 20;
const SELF = { node: 'n0', incarnation: 'n0.1' };
const respond = (status: number, body: unknown): CallOutcome => ({ _tag: 'response', status, body });

const runEventLoopTurns = async (): Promise<void> => {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1)
    await new Promise((resolve) => setImmediate(resolve));
};

/** A stand-in for the leases of the key-value store. The test applies watch events to the cache itself. */
class LeaseStore {
  private lastLease = 0;
  /** The current lease; null: it has ended. */
  lease: number | null = null;
  revision = 0;
  /** Whether reads of the claims are answered with status 503. */
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

/** Starts a lease manager between a stand-in store and a watch cache whose content the test sets. */
const startController = () => {
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
  const showClaim = (claimName: string, version: number): void =>
    cache.apply({ _tag: 'put', entry: { key: claimKey(claimName), value: writeClaim(SELF), version } });
  return {
    leaseStore,
    leases,
    showClaim,
    removeClaim: (claimName: string, version: number): void =>
      cache.apply({ _tag: 'delete', key: claimKey(claimName), version }),
    /** Advances the time until the lease is renewed, or is found to have ended and a new one is requested. */
    renew: async (): Promise<void> => {
      mock.timers.tick(CONTROLLER_LEASE_RENEWAL_INTERVAL_MS);
      await runEventLoopTurns();
    },
    stop: async (): Promise<void> => {
      Effect.runFork(Fiber.interrupt(fiber));
      await runEventLoopTurns();
      mock.timers.reset();
    },
  };
};

const CLAIM_NAMES = [LEADER_CLAIM, '0'];
for (const claimName of CLAIM_NAMES) {
  test(`lease: a new lease does not permit acting on claim ${claimName} of the earlier lease`, async () => {
    const controller = startController();
    const { leaseStore, leases } = controller;
    try {
      await runEventLoopTurns();
      controller.showClaim(claimName, 5);
      leaseStore.revision = 5;
      assert.equal(leases.actingClaimRevision(claimName), 5, 'under the first lease');

      // The lease ends and a successor takes the claim. The watch cache shows neither yet.
      leaseStore.lease = null;
      leaseStore.revision = 7;
      await controller.renew();
      assert.equal(leases.lease, 2, 'there is a new lease');
      assert.equal(leases.heldClaimRevision(claimName), 5, 'the watch cache still shows the old claim');
      assert.equal(leases.actingClaimRevision(claimName), null, 'another process holds the claim by now');

      // The watch cache shows a claim of the earlier lease only after the new lease was granted.
      controller.showClaim(claimName, 6);
      assert.equal(leases.actingClaimRevision(claimName), null);
      controller.removeClaim(claimName, 7);
      assert.equal(leases.actingClaimRevision(claimName), null);

      controller.showClaim(claimName, 9);
      assert.equal(leases.actingClaimRevision(claimName), 9, 'taken under the new lease');
      await controller.renew();
      assert.equal(leases.actingClaimRevision(claimName), 9, 'a renewal changes nothing');
    } finally {
      await controller.stop();
    }
  });
}

test('lease: no new lease is requested until the revision at which old claims ended is known', async () => {
  const controller = startController();
  const { leaseStore, leases } = controller;
  try {
    await runEventLoopTurns();
    controller.showClaim(LEADER_CLAIM, 5);
    leaseStore.lease = null;
    leaseStore.revision = 7;
    leaseStore.readsFail = true;
    await controller.renew();
    assert.equal(leases.actingClaimRevision(LEADER_CLAIM), null);
    await controller.renew();
    assert.equal(leases.actingClaimRevision(LEADER_CLAIM), null);
    leaseStore.readsFail = false;
    await controller.renew();
    controller.showClaim(LEADER_CLAIM, 9);
    assert.equal(leases.actingClaimRevision(LEADER_CLAIM), 9);
  } finally {
    await controller.stop();
  }
});

test('lease: the first lease of a process needs no read of the claims', async () => {
  const controller = startController();
  try {
    await runEventLoopTurns();
    assert.equal(controller.leases.lease, 1);
    assert.equal(controller.leaseStore.reads, 0);
  } finally {
    await controller.stop();
  }
});

/**
 * Guards against a shard that outlives its claim: a claim lost while the shard's runs were being read left a
 * shard that did not count as lost, with a round loop that never ended.
 */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import { KeyValueStore } from '../kv-store/client.js';
import { WatchCache } from '../kv-store/watch-cache.js';
import { log } from '../log.js';
import type { ShardContext } from '../placement/shard-context.js';
import { Shard } from '../placement/shard.js';
import { HeldShards } from './held-shards.js';

const SHARD = 1;
const CLAIM_NAME = String(SHARD);
const FIRST_CLAIM = 10;
const TURNS = 20;
/** ms: several placement rounds and repeated reads. */
const SEVERAL_ROUNDS_MS = 5_000;
const STEP_MS = 50;
const TIMES = 10;

const turns = async (): Promise<void> => {
  for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};
const advance = async (ms: number): Promise<void> => {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    mock.timers.tick(STEP_MS);
    await turns();
  }
};

const page = (more: boolean): CallOutcome => ({
  _tag: 'response',
  status: 200,
  body: {
    rows: [{ path: `r/${SHARD}/job-1/0`, data: { a: 1, d: '0', b: [] }, brandMark: 3 }],
    more,
    epoch: 9,
  },
});
const FAILED: CallOutcome = { _tag: 'response', status: 503, body: {} };

/** What a shard did under a claim that this process no longer held. */
interface LateWork {
  readonly claim: number;
  readonly what: string;
}

/** One process's shards, over a store whose answers the test gives one by one. */
class ShardsInTest {
  /** The revision of this process's claim; null: it holds none. */
  claim: number | null = null;
  readonly late: LateWork[] = [];
  readonly loaded: number[] = [];
  private readonly requests: { readonly path: string; readonly answer: (outcome: CallOutcome) => void }[] =
    [];
  private readonly store = new KeyValueStore(
    { host: 'h', port: 1 },
    { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: 10, nodes: 1 },
    () => Date.now(),
    () => ({
      request: (_method, path) => new Promise((answer) => this.requests.push({ path, answer })),
    }),
  );
  private readonly cache = new WatchCache(this.store, () => Date.now());
  readonly shards = new HeldShards({
    shardCount: 2,
    leases: { heldClaimRevision: () => this.claim, actingClaimRevision: () => this.claim },
    create: (shardId, claim) => new Shard(shardId, claim, this.context(claim)),
    onTaken: () => undefined,
  });

  /** Notes work under a claim that is not this process's any more. */
  private note(claim: number, what: string): void {
    if (claim !== this.claim) this.late.push({ claim, what });
  }

  private context(claim: number): ShardContext {
    return {
      store: this.store,
      cache: this.cache,
      mayAct: () => {
        this.note(claim, 'asked to begin a round');
        return this.claim === claim;
      },
      onLoaded: () => {
        this.note(claim, 'duties began');
        this.loaded.push(claim);
      },
      reservations: () => [],
      sendCommands: () => Promise.resolve({ _tag: 'refused', heartbeat: null }),
      releaseNow: () => Promise.resolve(false),
      cleanUpDuty: null,
      catalog: () => null,
      scarceDemand: () => null,
      isBootBound: () => false,
      shardOfTeam: new Map(),
      limits: new Map(),
      guarantees: new Map(),
      objectives: new Map(),
      workers: { lease_s: 15, report_s: 3, cancel_s: 40 },
      valueBytes: 2_048,
      maySplit: () => true,
      coreFraction: 1,
      spareElsewhere: () => false,
      now: () => Date.now(),
      processorMs: () => 0,
      wall: () => Date.now(),
      onFinalRecord: () => undefined,
      readiness: () => ({ _tag: 'ready', since: 0 }),
      effectivePriority: () => null,
      notifyLeader: () => undefined,
    };
  }

  take(claim: number): void {
    this.claim = claim;
    this.shards.onClaimChanged(CLAIM_NAME);
  }

  lose(): void {
    this.claim = null;
    this.shards.onClaimChanged(CLAIM_NAME);
  }

  /** Answers the request that waits; false: there is none. */
  async answer(outcome: CallOutcome): Promise<boolean> {
    const request = this.requests.shift();
    request?.answer(outcome);
    await turns();
    return request !== undefined;
  }

  /** The same, with the claim lost in the very turn of the answer. */
  async answerAndLose(outcome: CallOutcome): Promise<void> {
    this.requests.shift()?.answer(outcome);
    this.lose();
    await turns();
  }

  /** Every request that still waits, and those that follow, are answered. */
  async answerAll(): Promise<void> {
    while (await this.answer(page(false))) await advance(STEP_MS);
  }
}

/** Brings a shard that was just taken to a point of its loading, and loses its claim there. */
type Loss = (shards: ShardsInTest) => Promise<void>;

const losses: readonly { name: string; lose: Loss; loaded: boolean }[] = [
  {
    name: 'before the first page is asked for',
    lose: (shards) => {
      shards.lose();
      return Promise.resolve();
    },
    loaded: false,
  },
  {
    name: 'while the first page is on its way',
    lose: async (shards) => {
      await turns();
      shards.lose();
      await shards.answer(page(false));
    },
    loaded: false,
  },
  {
    name: 'between two pages',
    lose: async (shards) => {
      await turns();
      await shards.answer(page(true));
      shards.lose();
      await shards.answer(page(false));
    },
    loaded: false,
  },
  {
    name: 'in the turn in which the last page arrives',
    lose: async (shards) => {
      await turns();
      await shards.answer(page(true));
      await shards.answerAndLose(page(false));
    },
    loaded: false,
  },
  {
    name: 'in the pause after a read that failed',
    lose: async (shards) => {
      await turns();
      await shards.answer(FAILED);
      shards.lose();
      await advance(SEVERAL_ROUNDS_MS);
    },
    loaded: false,
  },
  {
    name: 'while a failed read is repeated',
    lose: async (shards) => {
      await turns();
      await shards.answer(FAILED);
      await advance(SEVERAL_ROUNDS_MS);
      shards.lose();
      await shards.answer(FAILED);
    },
    loaded: false,
  },
  {
    name: 'after loading',
    lose: async (shards) => {
      await turns();
      await shards.answer(page(false));
      shards.lose();
    },
    loaded: true,
  },
];

/** Runs a scene on virtual time; returns the claims that log lines named after they were lost. */
const play = async (scene: (shards: ShardsInTest) => Promise<void>): Promise<void> => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000 });
  const shards = new ShardsInTest();
  const info = mock.method(log, 'info', (line: { event: string; claim?: number }) => {
    const { event, claim } = line;
    if (claim !== undefined && claim !== shards.claim && event !== 'shard.lost')
      shards.late.push({ claim, what: event });
  });
  try {
    await scene(shards);
  } finally {
    shards.shards.stop();
    await turns();
    info.mock.restore();
    mock.timers.reset();
  }
};

for (const { name, lose, loaded } of losses) {
  test(`held shards: a claim lost ${name} leaves nothing behind`, async () => {
    await play(async (shards) => {
      shards.take(FIRST_CLAIM);
      await lose(shards);
      await shards.answerAll();
      await advance(SEVERAL_ROUNDS_MS);
      assert.deepEqual(shards.late, []);
      assert.deepEqual(shards.loaded, loaded ? [FIRST_CLAIM] : []);
      assert.equal(shards.shards.isHeld(SHARD), false);
    });
  });

  test(`held shards: ten claims, each lost ${name}, then one that stays`, async () => {
    await play(async (shards) => {
      for (let time = 0; time < TIMES; time += 1) {
        shards.take(FIRST_CLAIM + time);
        await lose(shards);
      }
      const last = FIRST_CLAIM + TIMES;
      shards.take(last);
      await turns();
      await shards.answerAll();
      await advance(SEVERAL_ROUNDS_MS);
      assert.deepEqual(shards.late, []);
      assert.equal(shards.shards.actingShard(SHARD)?.claim, last);
      assert.equal(shards.loaded.at(-1), last);
      assert.equal(shards.loaded.filter((claim) => claim === last).length, 1, 'one load for one claim');
    });
  });
}

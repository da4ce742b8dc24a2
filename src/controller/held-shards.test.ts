/**
 * Guards against a shard that outlives its claim. A claim that was lost while the runs of its shard were
 * being read left behind a shard that was not marked as lost and whose round loop never ended.
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
const EVENT_LOOP_TURNS = 20;
/** The duration of several placement rounds and repeated reads (ms). */
const SEVERAL_ROUNDS_MS = 5_000;
const STEP_MS = 50;
const LOST_CLAIMS = 10;

const runEventLoopTurns = async (): Promise<void> => {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1)
    await new Promise((resolve) => setImmediate(resolve));
};
const advance = async (ms: number): Promise<void> => {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    mock.timers.tick(STEP_MS);
    await runEventLoopTurns();
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

/** An action of a shard under a claim that this process no longer held. */
interface LateAction {
  readonly claim: number;
  readonly action: string;
}

/** The shards of one process, with a stand-in store whose requests the test answers one by one. */
class HeldShardsHarness {
  /** The revision of this process's claim; null: this process holds no claim. */
  claim: number | null = null;
  readonly late: LateAction[] = [];
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

  /** Records an action under a claim that this process no longer holds. */
  private noteIfLate(claim: number, action: string): void {
    if (claim !== this.claim) this.late.push({ claim, action });
  }

  private context(claim: number): ShardContext {
    return {
      store: this.store,
      cache: this.cache,
      mayAct: () => {
        this.noteIfLate(claim, 'asked to begin a round');
        return this.claim === claim;
      },
      onLoaded: () => {
        this.noteIfLate(claim, 'duties began');
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

  /** Answers the first waiting request; false: there is none. */
  async answer(outcome: CallOutcome): Promise<boolean> {
    const request = this.requests.shift();
    request?.answer(outcome);
    await runEventLoopTurns();
    return request !== undefined;
  }

  /** Answers the first waiting request and loses the claim in the same event-loop turn. */
  async answerAndLose(outcome: CallOutcome): Promise<void> {
    this.requests.shift()?.answer(outcome);
    this.lose();
    await runEventLoopTurns();
  }

  /** Answers every request that still waits and those that follow. */
  async answerAll(): Promise<void> {
    while (await this.answer(page(false))) await advance(STEP_MS);
  }
}

/**
 * Advances a shard that was just taken to a certain point of its loading and loses its claim at that point.
 */
type Loss = (shards: HeldShardsHarness) => Promise<void>;

const losses: readonly { name: string; lose: Loss; loaded: boolean }[] = [
  {
    name: 'before the first page is requested',
    lose: (shards) => {
      shards.lose();
      return Promise.resolve();
    },
    loaded: false,
  },
  {
    name: 'while the first page is being read',
    lose: async (shards) => {
      await runEventLoopTurns();
      shards.lose();
      await shards.answer(page(false));
    },
    loaded: false,
  },
  {
    name: 'between two pages',
    lose: async (shards) => {
      await runEventLoopTurns();
      await shards.answer(page(true));
      shards.lose();
      await shards.answer(page(false));
    },
    loaded: false,
  },
  {
    name: 'in the event-loop turn in which the last page arrives',
    lose: async (shards) => {
      await runEventLoopTurns();
      await shards.answer(page(true));
      await shards.answerAndLose(page(false));
    },
    loaded: false,
  },
  {
    name: 'in the pause after a failed read',
    lose: async (shards) => {
      await runEventLoopTurns();
      await shards.answer(FAILED);
      shards.lose();
      await advance(SEVERAL_ROUNDS_MS);
    },
    loaded: false,
  },
  {
    name: 'while a failed read is retried',
    lose: async (shards) => {
      await runEventLoopTurns();
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
      await runEventLoopTurns();
      await shards.answer(page(false));
      shards.lose();
    },
    loaded: true,
  },
];

/** Runs a scenario on virtual time, and records log lines that name a claim after it was lost. */
const runScenario = async (scenario: (shards: HeldShardsHarness) => Promise<void>): Promise<void> => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000 });
  const shards = new HeldShardsHarness();
  const info = mock.method(log, 'info', (line: { event: string; claim?: number }) => {
    const { event, claim } = line;
    if (claim !== undefined && claim !== shards.claim && event !== 'shard.lost')
      shards.late.push({ claim, action: event });
  });
  try {
    await scenario(shards);
  } finally {
    shards.shards.stop();
    await runEventLoopTurns();
    info.mock.restore();
    mock.timers.reset();
  }
};

for (const { name, lose, loaded } of losses) {
  test(`held shards: a shard whose claim is lost ${name} stops completely`, async () => {
    await runScenario(async (shards) => {
      shards.take(FIRST_CLAIM);
      await lose(shards);
      await shards.answerAll();
      await advance(SEVERAL_ROUNDS_MS);
      assert.deepEqual(shards.late, []);
      assert.deepEqual(shards.loaded, loaded ? [FIRST_CLAIM] : []);
      assert.equal(shards.shards.isHeld(SHARD), false);
    });
  });

  test(`held shards: ten claims, each lost ${name}, followed by one that is kept`, async () => {
    await runScenario(async (shards) => {
      for (let index = 0; index < LOST_CLAIMS; index += 1) {
        shards.take(FIRST_CLAIM + index);
        await lose(shards);
      }
      const last = FIRST_CLAIM + LOST_CLAIMS;
      shards.take(last);
      await runEventLoopTurns();
      await shards.answerAll();
      await advance(SEVERAL_ROUNDS_MS);
      assert.deepEqual(shards.late, []);
      assert.equal(shards.shards.actingShard(SHARD)?.claim, last);
      assert.equal(shards.loaded.at(-1), last);
      assert.equal(shards.loaded.filter((claim) => claim === last).length, 1, 'one load for one claim');
    });
  });
}

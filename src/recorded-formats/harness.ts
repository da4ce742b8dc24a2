/**
 * One composed controller on virtual time, seen only from its edges: requests that it sends, answers that it
 * gives and values that it stores, all as bytes. Everything that recordings use of the controller's types
 * stands here.
 */
import { mock } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import { WITHHELD, type CallOutcome, type ServerResponse } from '../http/model.js';
import { decode, encode } from '../http/msgpack.js';
import { compose } from '../controller/compose.js';
import type { Controller } from '../controller/ports.js';
import { ALL_FEATURES } from '../settings/features.js';
import { checkNetworks } from '../settings/networks.js';
import { checkSettings, type Settings } from '../settings/schema.js';
import { KeyValueStoreStandIn } from '../testing/key-value-store-stand-in.js';
import { writeCommands } from '../workers/codec.js';
import { toRecordedMessage, type RecordedMessage } from './fixtures.js';

/** ms since the epoch at which recordings begin. */
export const START_MS = 1_700_000_000_000;
/** ms of virtual time between two looks. */
const STEP_MS = 20;
/** Turns of the event loop in which everything that is due runs to its end. */
const TURNS = 12;
/** ms of virtual time after which an answer is missed. */
const PATIENCE_MS = 10_000;
/** ms: life of the leases that stand for other controllers. */
const FOREIGN_LEASE_MS = 600_000;
/** Names of the controllers. */
const NODES = ['n0', 'n1', 'n2'] as const;

/** A controller of the deployment. */
export type Node = (typeof NODES)[number];

/** A request that left the controller. */
export interface SentRequest {
  readonly to: string;
  readonly method: string;
  readonly path: string;
  /** MessagePack; null: without a body. */
  readonly bytes: Buffer | null;
}

/** Answers a request that left the controller. */
export type Responder = (request: SentRequest) => StubAnswer | Promise<StubAnswer>;

/** A stand-in's answer; null: the connection is refused. */
export type StubAnswer = { readonly status: number; readonly body: unknown } | null;

/** An answer of the controller. */
export interface RecordedReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly text?: string;
  readonly body?: RecordedMessage;
}

const team = (name: string, gpus: number): object => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max: 1_000 });

/** The settings as the platform hands them over; team k of the list belongs to share k. */
const settingsText = (node: Node): string =>
  JSON.stringify({
    host_name: node,
    area: 'x',
    api_addr: `${node}:1`,
    mesh_addr: `${node}:2`,
    siblings: NODES.filter((other) => other !== node).map((other) => ({
      host_name: other,
      area: 'x',
      endpoint: `${other}:2`,
    })),
    services: { cloud: 'cloud:1', state: 'state:1' },
    facts: {
      count: 3,
      zones: ['x', 'y'],
      teams: [team('red', 24), team('blue', 16), team('green', 8)],
      objectives: [{ kind: 'wait', class: 'train', within_s: 4 }],
      workers: { report_s: 3, lease_s: 15, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 40 },
      state: { rps: 3_000, write_rps: 1_500, value_kb: 2, txn_ops: 32 },
      cloud: { rps: 40, list_lag_s: 5 },
      quota: { core_share: 1, ram_mb: 300, fd_limit: 1_000 },
      clock_error_ms: 10,
    },
  });

const settingsOf = (node: Node): Settings => {
  const checked = checkSettings(settingsText(node));
  if (checked._tag === 'bad') throw new Error(checked.message);
  return checked.settings;
};

/** Who may use the administration API. */
const ADMIN_NETWORKS = 'admin = ["10.0.0.0/8"]\n';
/** An address from which it may be used. */
export const ADMIN_ADDRESS = '10.1.2.3';
/** An address from which it may not be used. */
export const UNAUTHORIZED_ADDRESS = '192.0.2.7';

const turns = async (): Promise<void> => {
  for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

const recordReply = (reply: ServerResponse): RecordedReply => ({
  status: reply.status,
  ...(reply.headers === undefined ? {} : { headers: reply.headers }),
  ...(reply.text === undefined ? { body: toRecordedMessage(reply.body ?? {}) } : { text: reply.text }),
});

/** A controller between stand-ins. */
export class HarnessedController {
  readonly state = new KeyValueStoreStandIn();
  readonly sent: SentRequest[] = [];
  /** Commands sent straight to workers, as `POST /commands` carries them. */
  readonly commands: { readonly address: string; readonly body: RecordedMessage }[] = [];
  /** How cloud and peers answer; the state service is a stand-in of its own. */
  respond: Responder = () => null;
  /** The state service does not answer at all. */
  storeUnresponsive = false;
  private wallMs = START_MS;
  private controller: Controller | null = null;
  private fiber: Fiber.Fiber<unknown> | null = null;

  constructor(readonly node: Node) {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: START_MS });
  }

  /** Puts a value into the state service, given as it is stored. */
  async seed(key: string, json: string, lease?: number): Promise<number> {
    const write = { write: key, data: JSON.parse(json) as unknown, ...(lease ? { permit: lease } : {}) };
    const answer = await this.state.handle('seed', 'POST', '/txn', { when: [], writes: [write] });
    if (answer._tag !== 'response' || answer.status !== 200) throw new Error(`not seeded: ${key}`);
    return (answer.body as { epoch: number }).epoch;
  }

  /** Claims that other controllers hold. */
  async seedClaims(claims: Readonly<Record<string, Node>>): Promise<void> {
    const granted = await this.state.handle('seed', 'POST', '/holds', { ttlMs: FOREIGN_LEASE_MS });
    const { permit } = (granted as CallOutcome & { _tag: 'response' }).body as { permit: number };
    for (const [claimName, node] of Object.entries(claims))
      await this.seed(`w/c/${claimName}`, `{"n":"${node}","i":"${node}.1"}`, permit);
  }

  start(): void {
    const access = checkNetworks(ADMIN_NETWORKS);
    if (access._tag === 'bad') throw new Error(access.message);
    const ports = {
      now: () => Date.now(),
      wall: () => this.wallMs,
      processorMs: () => 0,
      incarnation: `${this.node}.1`,
      createHttpClient: (target: { readonly host: string }) => ({
        request: (
          method: string,
          path: string,
          body: unknown,
          _timeoutMs: number,
          maySend?: () => boolean,
        ): Promise<CallOutcome> => this.send(target.host, method, path, body, maySend),
      }),
      workerClient: {
        send: (
          ...[addr, token, agentEpoch, commands]: SendArguments
        ): Promise<{ _tag: 'refused'; heartbeat: null }> => {
          const body = { ...writeCommands(token, commands), stint: agentEpoch };
          this.commands.push({ address: addr, body: toRecordedMessage(body) });
          return Promise.resolve({ _tag: 'refused', heartbeat: null });
        },
      },
    };
    this.controller = compose(settingsOf(this.node), ports, ALL_FEATURES, access.admin);
    this.fiber = Effect.runFork(this.controller.run);
  }

  /** Ends the controller and gives the clock back. */
  async stop(): Promise<void> {
    this.controller?.stop();
    if (this.fiber) Effect.runFork(Fiber.interrupt(this.fiber));
    await turns();
    mock.timers.reset();
  }

  private async send(
    to: string,
    method: string,
    path: string,
    body: unknown,
    maySend?: () => boolean,
  ): Promise<CallOutcome> {
    if (maySend && !maySend()) return WITHHELD;
    const bytes = body === undefined ? null : encode(body);
    const request: SentRequest = { to, method, path, bytes };
    this.sent.push(request);
    if (to === 'state') {
      if (this.storeUnresponsive) return new Promise(() => undefined);
      return this.state.handle(this.node, method, path, bytes ? decode(bytes) : {});
    }
    const answer = await this.respond(request);
    if (answer === null) return { _tag: 'noResponse', why: 'refused' };
    return { _tag: 'response', status: answer.status, body: decode(encode(answer.body)) };
  }

  /**
   * Lets virtual time pass; the time of day stands still unless `wall` is set, so that stamps are known
   * beforehand.
   */
  async advance(ms: number, wall = false): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      if (wall) this.wallMs += STEP_MS;
      mock.timers.tick(STEP_MS);
      await turns();
    }
  }

  private async settled<T>(promise: Promise<T>): Promise<T> {
    let over = false;
    const end = (): void => {
      over = true;
    };
    promise.then(end, end);
    await turns();
    for (let passed = 0; !over && passed < PATIENCE_MS; passed += STEP_MS) await this.advance(STEP_MS);
    if (!over) throw new Error('no answer');
    return promise;
  }

  private call(
    method: string,
    path: string,
    body: unknown,
    remoteAddress?: string,
  ): Parameters<Controller['route']>[0] {
    const read =
      body === undefined
        ? ({ _tag: 'empty' } as const)
        : ({ _tag: 'value', value: decode(encode(body)) } as const);
    return { method, path, query: '', body: read, ...(remoteAddress === undefined ? {} : { remoteAddress }) };
  }

  /** Requests of users, workers and operators, as the server hands them over. */
  get route(): Controller['route'] {
    if (!this.controller) throw new Error('not started');
    return this.controller.route;
  }

  /** A request of a user, a worker or an operator. */
  async request(
    method: string,
    path: string,
    body?: unknown,
    remoteAddress?: string,
  ): Promise<RecordedReply> {
    if (!this.controller) throw new Error('not started');
    return recordReply(
      await this.settled(this.controller.route(this.call(method, path, body, remoteAddress))),
    );
  }

  /** A request of another controller. */
  async requestFromPeer(path: string, body?: unknown): Promise<RecordedReply> {
    if (!this.controller) throw new Error('not started');
    return recordReply(await this.settled(this.controller.peerRoute(this.call('POST', path, body))));
  }

  /** A peer's request with a body that was read already, and the answer's body as it is sent. */
  async exchangeWithPeer(path: string, value: unknown): Promise<Buffer> {
    if (!this.controller) throw new Error('not started');
    const call = { method: 'POST', path, query: '', body: { _tag: 'value', value } } as const;
    return encode((await this.controller.peerRoute(call)).body);
  }

  /** What is stored under a key. */
  storedValue(key: string): unknown {
    const value = this.state.value(key);
    if (value === undefined) throw new Error(`nothing stored under ${key}`);
    return value;
  }

  /** The first request of a kind. */
  firstSent(what: string, matches: (request: SentRequest) => boolean): SentRequest {
    const found = this.sent.find(matches);
    if (!found) throw new Error(`${this.node} sent no ${what}`);
    return found;
  }

  /** The first transaction that writes or removes a key of this prefix. */
  firstTransaction(prefix: string): SentRequest {
    return this.firstSent(`transaction on ${prefix}`, (request) => {
      if (request.path !== '/txn') return false;
      const { writes } = valueOf(request) as { writes: { write?: string; remove?: string }[] };
      return writes.some((write) => (write.write ?? write.remove ?? '').startsWith(prefix));
    });
  }

  /** The last heartbeat to a peer, with fixed numbers for what follows the clock. */
  lastHeartbeat(to: Node): RecordedMessage {
    const found = this.sent.findLast((request) => request.to === to && request.path === '/beat');
    if (!found) throw new Error(`${this.node} sent no heartbeat to ${to}`);
    return toRecordedMessage(masked(valueOf(found)));
  }
}

type SendArguments = Parameters<Parameters<typeof compose>[1]['workerClient']['send']>;

/** A request as it is recorded. */
export const toRecordedRequest = ({ to, method, path, bytes }: SentRequest): object => ({
  to,
  method,
  path,
  ...(bytes === null ? {} : { body: { bytes: bytes.toString('base64'), json: decode(bytes) } }),
});

/** The value of a sent message. */
export const valueOf = (request: SentRequest): unknown =>
  request.bytes === null ? undefined : decode(request.bytes);

/**
 * Fields of heartbeats, summaries and orders that follow the clock or the load, and what stands in their
 * place.
 */
const MASKED: Readonly<Record<string, number>> = {
  stateAgeMs: 20,
  requests: 1.5,
  changes: 0.5,
  idleS: 3.25,
  ageMs: 250,
  revision: 900,
};

/** A message with fixed numbers for what follows the clock, all else and the order of fields kept. */
export const masked = (value: unknown, fields: Readonly<Record<string, number>> = MASKED): unknown => {
  if (Array.isArray(value)) return value.map((entry) => masked(entry, fields));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, entry]) => [
      name,
      name in fields && typeof entry === 'number' ? fields[name] : masked(entry, fields),
    ]),
  );
};

/** A reply with a masked body. */
export const maskedReply = (reply: RecordedReply): RecordedReply => ({
  ...reply,
  ...(reply.body === undefined
    ? {}
    : { body: toRecordedMessage(masked(decode(Buffer.from(reply.body.bytes, 'base64')))) }),
});

/** The machine types of all recordings, as they are stored. */
export const CATALOG_JSON =
  '[{"name":"g8","cpus":64,"gpus":8,"memoryGb":256,"cacheGb":100,"price":8.5,"spotPrice":2.25,"bootS":40,' +
  '"zones":["x","y"]},' +
  '{"name":"c16","cpus":16,"gpus":0,"memoryGb":64,"cacheGb":50,"price":1,"spotPrice":0.25,"bootS":20,' +
  '"zones":["y"]}]';

/** A worker that reports to the controller, in the protocol's words. */
export class ReportingWorker {
  private tally = 0;
  private crook = 0;
  heads: readonly object[] = [];

  constructor(
    private readonly controller: HarnessedController,
    readonly id: string,
    private readonly paddock = 'x',
  ) {}

  async sendHeartbeat(over: object = {}): Promise<RecordedReply> {
    this.tally += 1;
    const reply = await this.controller.request('POST', '/hello', {
      drover: this.id,
      addr: `${this.id}:9000`,
      breed: 'g8',
      paddock: this.paddock,
      agistment: true,
      stint: 1,
      tally: this.tally,
      crook: this.crook,
      warningS: null,
      heads: this.heads,
      ...over,
    });
    if (reply.status === 200) this.crook = (reply.body?.json as { crook: number }).crook;
    return reply;
  }

  /** Its record as it is stored. */
  recordJson(shardId: number): string {
    return `{"s":${shardId},"b":"g8","z":"${this.paddock}","p":true,"t":${START_MS},"r":false}`;
  }
}

/** Names of machines in order. */
export const machineIds = (first: number, count: number): readonly string[] =>
  Array.from({ length: count }, (_, k) => `i-${String(first + k).padStart(6, '0')}`);

/** A submission with every field, in the protocol's words; what a recording is about goes over it. */
export const submissionOf = (over: object): object => ({
  uid: 'job-000412',
  herd: 'train',
  owner: 'blue',
  shape: 'group',
  urgency: 'urgent',
  heads: 55,
  vcpus: 8,
  accelerators: 8,
  memoryGb: 64.5,
  brand: 'img-07',
  sizeGb: 6.2,
  breeds: ['g8', 'g9'],
  paddock: null,
  together: true,
  scatter: false,
  agistment: true,
  expectedS: 240,
  musterEveryS: 30,
  musterS: 4,
  dueS: 900,
  ...over,
});

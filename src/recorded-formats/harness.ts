/**
 * Runs one composed controller on virtual time between stand-ins and records what crosses its boundaries: the
 * requests that the controller sends, the responses that it returns and the values that it stores, as bytes.
 * Recordings use the controller's types only through this module.
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

/** ms since the epoch: the time at which each recording begins. */
export const START_MS = 1_700_000_000_000;
/** ms of virtual time by which the clock advances in one step. */
const STEP_MS = 20;
/** Turns of the event loop after which all callbacks that are due at the current virtual time have run. */
const EVENT_LOOP_TURNS = 12;
/** ms of virtual time that a request to the controller may take. */
const ANSWER_TIMEOUT_MS = 10_000;
/** ms: duration of the lease under which claims of other controllers are stored. */
const PEER_LEASE_MS = 600_000;
/** Names of the controllers of the deployment. */
const NODES = ['n0', 'n1', 'n2'] as const;

/** The name of a controller of the deployment. */
export type Node = (typeof NODES)[number];

/** A request that the controller sent. */
export interface SentRequest {
  readonly to: string;
  readonly method: string;
  readonly path: string;
  /** The body in MessagePack; null: the request has no body. */
  readonly bytes: Buffer | null;
}

/** Answers requests of the controller to the cloud and to other controllers. */
export type Responder = (request: SentRequest) => StubAnswer | Promise<StubAnswer>;

/** The response of a stand-in; null: the connection is refused. */
export type StubAnswer = { readonly status: number; readonly body: unknown } | null;

/** A response of the controller, as it is recorded. */
export interface RecordedReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly text?: string;
  readonly body?: RecordedMessage;
}

const team = (name: string, gpus: number): object => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max: 1_000 });

/** The settings file of a controller, as the platform provides it; team k of the list belongs to shard k. */
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

/** The networks file: the networks from which the administration API may be used. */
const ADMIN_NETWORKS = 'admin = ["10.0.0.0/8"]\n';
/** An address from which the administration API may be used. */
export const ADMIN_ADDRESS = '10.1.2.3';
/** An address from which the administration API may not be used. */
export const UNAUTHORIZED_ADDRESS = '192.0.2.7';

/** Lets all callbacks that are due at the current virtual time run. */
const runDueCallbacks = async (): Promise<void> => {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1)
    await new Promise((resolve) => setImmediate(resolve));
};

const toRecordedReply = (reply: ServerResponse): RecordedReply => ({
  status: reply.status,
  ...(reply.headers === undefined ? {} : { headers: reply.headers }),
  ...(reply.text === undefined ? { body: toRecordedMessage(reply.body ?? {}) } : { text: reply.text }),
});

/** A controller on virtual time, between stand-ins for the key-value store, the cloud, peers and workers. */
export class HarnessedController {
  readonly state = new KeyValueStoreStandIn();
  readonly sent: SentRequest[] = [];
  /** Commands that the controller sent directly to workers, with the body of `POST /commands`. */
  readonly commands: { readonly address: string; readonly body: RecordedMessage }[] = [];
  /** Answers requests to the cloud and to peers; `state` answers those to the key-value store. */
  respond: Responder = () => null;
  /** Whether requests to the key-value store never get a response. */
  storeUnresponsive = false;
  private wallMs = START_MS;
  private controller: Controller | null = null;
  private fiber: Fiber.Fiber<unknown> | null = null;

  constructor(readonly node: Node) {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: START_MS });
  }

  /** Writes a value, given in its stored JSON form, to the key-value store; returns the key's revision. */
  async seed(key: string, json: string, lease?: number): Promise<number> {
    const write = { write: key, data: JSON.parse(json) as unknown, ...(lease ? { permit: lease } : {}) };
    const answer = await this.state.handle('seed', 'POST', '/txn', { when: [], writes: [write] });
    if (answer._tag !== 'response' || answer.status !== 200) throw new Error(`not seeded: ${key}`);
    return (answer.body as { epoch: number }).epoch;
  }

  /** Stores claims that other controllers hold, under a lease: by claim name, the holder. */
  async seedClaims(claims: Readonly<Record<string, Node>>): Promise<void> {
    const granted = await this.state.handle('seed', 'POST', '/holds', { ttlMs: PEER_LEASE_MS });
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

  /** Stops the controller and restores the real clock. */
  async stop(): Promise<void> {
    this.controller?.stop();
    if (this.fiber) Effect.runFork(Fiber.interrupt(this.fiber));
    await runDueCallbacks();
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
   * Advances virtual time. The time of day advances only if `advanceWall` is set, so that timestamps in
   * recordings are predictable.
   */
  async advance(ms: number, advanceWall = false): Promise<void> {
    for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
      if (advanceWall) this.wallMs += STEP_MS;
      mock.timers.tick(STEP_MS);
      await runDueCallbacks();
    }
  }

  /** Awaits a promise while virtual time advances. */
  private async awaitWhileAdvancing<T>(promise: Promise<T>): Promise<T> {
    let isSettled = false;
    const markSettled = (): void => {
      isSettled = true;
    };
    promise.then(markSettled, markSettled);
    await runDueCallbacks();
    for (let elapsed = 0; !isSettled && elapsed < ANSWER_TIMEOUT_MS; elapsed += STEP_MS)
      await this.advance(STEP_MS);
    if (!isSettled) throw new Error('the controller did not answer the request in time');
    return promise;
  }

  /** A request as the HTTP server passes it to a handler. */
  private serverRequest(
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

  /** The handler of requests of users, workers and operators, as the HTTP server calls it. */
  get route(): Controller['route'] {
    if (!this.controller) throw new Error('not started');
    return this.controller.route;
  }

  /** Sends the controller a request of a user, a worker or an operator. */
  async request(
    method: string,
    path: string,
    body?: unknown,
    remoteAddress?: string,
  ): Promise<RecordedReply> {
    if (!this.controller) throw new Error('not started');
    return toRecordedReply(
      await this.awaitWhileAdvancing(
        this.controller.route(this.serverRequest(method, path, body, remoteAddress)),
      ),
    );
  }

  /** Sends the controller a request of another controller. */
  async requestFromPeer(path: string, body?: unknown): Promise<RecordedReply> {
    if (!this.controller) throw new Error('not started');
    return toRecordedReply(
      await this.awaitWhileAdvancing(this.controller.peerRoute(this.serverRequest('POST', path, body))),
    );
  }

  /** Sends the controller a peer's request with a decoded body; returns the encoded body of the response. */
  async exchangeWithPeer(path: string, value: unknown): Promise<Buffer> {
    if (!this.controller) throw new Error('not started');
    const request = { method: 'POST', path, query: '', body: { _tag: 'value', value } } as const;
    return encode((await this.controller.peerRoute(request)).body);
  }

  /** The value that the key-value store holds for a key. */
  storedValue(key: string): unknown {
    const value = this.state.value(key);
    if (value === undefined) throw new Error(`nothing stored under ${key}`);
    return value;
  }

  /** The first request of the controller that matches. */
  firstSent(description: string, matches: (request: SentRequest) => boolean): SentRequest {
    const found = this.sent.find(matches);
    if (!found) throw new Error(`${this.node} sent no ${description}`);
    return found;
  }

  /** The first transaction of the controller that writes or removes a key with this prefix. */
  firstTransaction(prefix: string): SentRequest {
    return this.firstSent(`transaction on ${prefix}`, (request) => {
      if (request.path !== '/txn') return false;
      const { writes } = valueOf(request) as { writes: { write?: string; remove?: string }[] };
      return writes.some((write) => (write.write ?? write.remove ?? '').startsWith(prefix));
    });
  }

  /** The last heartbeat to a peer, with fixed values for fields that depend on the clock or the load. */
  lastHeartbeat(to: Node): RecordedMessage {
    const found = this.sent.findLast((request) => request.to === to && request.path === '/beat');
    if (!found) throw new Error(`${this.node} sent no heartbeat to ${to}`);
    return toRecordedMessage(masked(valueOf(found)));
  }
}

type SendArguments = Parameters<Parameters<typeof compose>[1]['workerClient']['send']>;

/** A request of the controller, as it is recorded. */
export const toRecordedRequest = ({ to, method, path, bytes }: SentRequest): object => ({
  to,
  method,
  path,
  ...(bytes === null ? {} : { body: { bytes: bytes.toString('base64'), json: decode(bytes) } }),
});

/** The decoded body of a request; undefined: the request has no body. */
export const valueOf = (request: SentRequest): unknown =>
  request.bytes === null ? undefined : decode(request.bytes);

/** Fixed values for fields of heartbeats, summaries and orders that depend on the clock or the load. */
const MASKED_FIELDS: Readonly<Record<string, number>> = {
  stateAgeMs: 20,
  requests: 1.5,
  changes: 0.5,
  idleS: 3.25,
  ageMs: 250,
  revision: 900,
};

/** A copy of a message in which numeric fields have these fixed values; the order of fields stays. */
export const masked = (value: unknown, fields: Readonly<Record<string, number>> = MASKED_FIELDS): unknown => {
  if (Array.isArray(value)) return value.map((entry) => masked(entry, fields));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, entry]) => [
      name,
      name in fields && typeof entry === 'number' ? fields[name] : masked(entry, fields),
    ]),
  );
};

/** A copy of a response whose body has the fixed values of {@link MASKED_FIELDS}. */
export const maskedReply = (reply: RecordedReply): RecordedReply => ({
  ...reply,
  ...(reply.body === undefined
    ? {}
    : { body: toRecordedMessage(masked(decode(Buffer.from(reply.body.bytes, 'base64')))) }),
});

/** The catalog of machine types of all recordings, as it is stored. */
export const CATALOG_JSON =
  '[{"name":"g8","cpus":64,"gpus":8,"memoryGb":256,"cacheGb":100,"price":8.5,"spotPrice":2.25,"bootS":40,' +
  '"zones":["x","y"]},' +
  '{"name":"c16","cpus":16,"gpus":0,"memoryGb":64,"cacheGb":50,"price":1,"spotPrice":0.25,"bootS":20,' +
  '"zones":["y"]}]';

/** A worker that sends heartbeats to the controller, with the field names of the wire protocol. */
export class ReportingWorker {
  private tally = 0;
  private crook = 0;
  heads: readonly object[] = [];

  constructor(
    private readonly controller: HarnessedController,
    readonly id: string,
    private readonly paddock = 'x',
  ) {}

  /** Sends a heartbeat and adopts the token of the response for the next one. */
  async sendHeartbeat(overrides: object = {}): Promise<RecordedReply> {
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
      ...overrides,
    });
    if (reply.status === 200) this.crook = (reply.body?.json as { crook: number }).crook;
    return reply;
  }

  /** The record of the worker's machine in a shard, as it is stored. */
  recordJson(shardId: number): string {
    return `{"s":${shardId},"b":"g8","z":"${this.paddock}","p":true,"t":${START_MS},"r":false}`;
  }
}

/** Ids of machines, in ascending order. */
export const machineIds = (first: number, count: number): readonly string[] =>
  Array.from({ length: count }, (_, k) => `i-${String(first + k).padStart(6, '0')}`);

/** The body of a submission with every field, under the names of the wire protocol. */
export const submissionOf = (overrides: object): object => ({
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
  ...overrides,
});

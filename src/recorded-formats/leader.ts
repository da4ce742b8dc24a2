/** The leader: machines that it provisions, releases and adopts, its orders, and its answers to operators. */
import { prepareController, recordedJson, recordWith, STARTUP_MS } from './deployment.js';
import { toRecordedMessage, recordedValue, type Recording } from './fixtures.js';
import {
  ADMIN_ADDRESS,
  UNAUTHORIZED_ADDRESS,
  HarnessedController,
  machineIds,
  masked,
  maskedReply,
  toRecordedRequest,
  ReportingWorker,
  START_MS,
  valueOf,
  type Responder,
  type SentRequest,
  type StubAnswer,
} from './harness.js';

/** ms in which the leader settles open requests, reads the list of machines and plans scaling. */
const PLANNING_MS = 4_000;
/** ms until the controller has received a change of the shared keys. */
const PROPAGATION_MS = 500;
/** ms in which outcomes of provisioning requests are written. */
const OUTCOME_WRITE_MS = 4_000;
/** ms without an answer after which a peer counts as unreachable. */
const PEER_SILENCE_MS = 3_000;
/** ms in which transfers that did not take effect are ordered again, through the relay. */
const RELAY_MS = 6_000;

/**
 * Provisioning requests that an earlier leader left open: one to repeat, one to abandon, and one that is
 * malformed.
 */
const PROVISIONING_RECORD_JSON = JSON.stringify({
  t: 1,
  o: [
    { n: 'r-1-7', b: 'g8', z: 'x', p: true, s: [0, 2], a: START_MS - 5_000 },
    { n: 'r-1-8', b: 'g8', z: 'y', p: false, s: [1], a: START_MS - 60_000 },
    { n: 'r-1-9', b: 'g8' },
  ],
  d: [{ n: 'r-1-6', o: 'rented', m: 2, a: START_MS - 90_000 }],
});
const RELEASING_MACHINE_JSON =
  `{"s":2,"b":"g8","z":"x","p":false,"t":${START_MS},"r":true,` +
  '"a":"i-000800:9000","n":3,"i":["img-1"],"w":"idle","k":5}';
const EARLIER_RELEASING_MACHINE_JSON = `{"s":2,"b":"g8","z":"x","p":false,"t":${START_MS},"r":true}`;

const listedMachine = (uid: string, status: string): object => ({
  uid,
  addr: `${uid}:9000`,
  breed: 'g8',
  paddock: 'x',
  agistment: true,
  status,
  ageS: 500.5,
});

/** Stand-ins for the cloud and for peers that send their recorded heartbeats. */
class LeaderEnvironment {
  /** Resolves once the cloud may answer provisioning requests under new names. */
  private readonly provisioningAllowed: Promise<void>;
  private open: () => void = () => undefined;
  acceptsReleases = false;
  private rented = false;
  readonly silent = new Set<string>();

  constructor() {
    this.provisioningAllowed = new Promise((resolve) => {
      this.open = resolve;
    });
  }

  allowProvisioning(): void {
    this.open();
  }

  readonly respond: Responder = (request: SentRequest) =>
    request.to === 'cloud' ? this.cloud(request) : this.peer(request);

  private peer({ to, path }: SentRequest): StubAnswer {
    if (this.silent.has(to)) return null;
    if (path === '/move') return { status: 200, body: { moved: true } };
    const fixture = to === 'n1' ? 'holder' : 'other-holder';
    return path === '/beat' ? { status: 200, body: recordedValue(fixture, 'beat to the leader') } : null;
  }

  private async cloud(request: SentRequest): Promise<StubAnswer> {
    const { method, path } = request;
    if (path.startsWith('/machines?')) return this.list(path);
    if (path === '/machines/release')
      return this.acceptsReleases ? { status: 200, body: {} } : { status: 503, body: { error: 'trouble' } };
    if (method !== 'POST') return { status: 503, body: { error: 'trouble' } };
    const { hire, howMany } = valueOf(request) as { hire: string; howMany: number };
    if (hire === 'r-1-7') return { status: 200, body: { drovers: ['i-000600', 'i-000601'] } };
    await this.provisioningAllowed;
    if (this.rented) return { status: 503, body: { error: 'no capacity' } };
    this.rented = true;
    return { status: 200, body: { drovers: machineIds(700, howMany) } };
  }

  private list(path: string): StubAnswer {
    if (path.includes('since=')) return { status: 200, body: { drovers: [], more: false } };
    const drovers = [
      listedMachine('i-000001', 'running'),
      listedMachine('i-000777', 'running'),
      listedMachine('i-000778', 'starting'),
    ];
    return { status: 200, body: { drovers, more: true } };
  }
}

const preparedLeader = async (): Promise<HarnessedController> => {
  const controller = await prepareController('n0', { level: false });
  for (const id of machineIds(1, 27))
    await controller.seed(`w/m/${id}`, new ReportingWorker(controller, id).recordJson(1));
  for (const id of machineIds(28, 30))
    await controller.seed(`w/m/${id}`, new ReportingWorker(controller, id).recordJson(2));
  await controller.seed('w/m/i-000800', RELEASING_MACHINE_JSON);
  await controller.seed('w/m/i-000801', EARLIER_RELEASING_MACHINE_JSON);
  await controller.seed('i/rent', PROVISIONING_RECORD_JSON);
  return controller;
};

/** Records the leader. */
export const recordLeader = async (): Promise<Recording> => {
  const controller = await preparedLeader();
  return recordWith(controller, async (recording) => {
    const environment = new LeaderEnvironment();
    controller.respond = environment.respond;
    controller.start();
    await controller.advance(STARTUP_MS + PLANNING_MS);
    await recordOrdersToLeader(controller, environment, recording);
    await controller.seed('w/c/2', '{"n":"n2","i":"n2.2"}');
    await controller.advance(PROPAGATION_MS);
    await recordDuties(controller, recording);
    recording['book of rental requests i/rent, with an open one'] = controller.storedValue('i/rent');
    environment.allowProvisioning();
    environment.acceptsReleases = true;
    await controller.advance(OUTCOME_WRITE_MS);
    recordDecisions(controller, recording);
    await recordRelay(controller, environment, recording);
  });
};

const recordDecisions = (controller: HarnessedController, recording: Record<string, unknown>): void => {
  recording['claim w/c/L'] = controller.storedValue('w/c/L');
  recording['level w/level'] = controller.storedValue('w/level');
  recording['book of rental requests i/rent, with outcomes'] = controller.storedValue('i/rent');
  recording['record of a rented machine w/m/i-000700'] = controller.storedValue('w/m/i-000700');
  recording['record of an adopted machine w/m/i-000777'] = controller.storedValue('w/m/i-000777');
  recording['record of a machine rented by an earlier leader w/m/i-000600'] =
    controller.storedValue('w/m/i-000600');
  recording['beat with reservations'] = controller.lastHeartbeat('n1');
  recording['order to a holder'] = toRecordedRequest(
    controller.firstSent('order to a holder', ({ path }) => path === '/move'),
  );
  recording['transaction of a rental intent'] = toRecordedRequest(controller.firstTransaction('i/rent'));
  recording['transaction of the level'] = toRecordedRequest(controller.firstTransaction('w/level'));
  recording['transaction that removes records'] = toRecordedRequest(
    controller.firstTransaction('w/m/i-000800'),
  );
  const cloudRequest = (description: string, matches: (request: SentRequest) => boolean): object =>
    toRecordedRequest(
      controller.firstSent(description, (request) => request.to === 'cloud' && matches(request)),
    );
  recording['cloud: catalog'] = cloudRequest('question for the catalog', ({ path }) => path === '/catalog');
  recording['cloud: rental request that is repeated'] = cloudRequest(
    'rental request',
    ({ path }) => path === '/machines',
  );
  recording['cloud: rental request'] = cloudRequest(
    'rental request of its own',
    (request) => request.path === '/machines' && (valueOf(request) as { hire: string }).hire !== 'r-1-7',
  );
  recording['cloud: all rental requests'] = controller.sent
    .filter(({ to, method, path }) => to === 'cloud' && method === 'POST' && path === '/machines')
    .map(valueOf);
  recording['cloud: release'] = cloudRequest('release', ({ path }) => path === '/machines/release');
  recording['cloud: list'] = cloudRequest('list', ({ path }) => path.startsWith('/machines?'));
  recording['cloud: next page of the list'] = cloudRequest('next page', ({ path }) =>
    path.includes('since='),
  );
};

/** Orders of holders to the leader, orders to the wrong node, and orders of replaced holders and leaders. */
const recordOrdersToLeader = async (
  controller: HarnessedController,
  environment: LeaderEnvironment,
  recording: Record<string, unknown>,
): Promise<void> => {
  const leader = controller.state.version('w/c/L');
  const holder = controller.state.version('w/c/1');
  const order = recordedValue('stored-values', 'order to return machines, as sent') as object;
  const recordAnswer = async (description: string, path: string, body?: unknown): Promise<void> => {
    recording[`${path} ${description}: answer`] = await controller.requestFromPeer(path, body);
  };
  await recordAnswer('that the cloud does not carry out', '/return', { ...order, token: holder });
  environment.acceptsReleases = true;
  await recordAnswer('of the present holder', '/return', { ...order, token: holder });
  environment.acceptsReleases = false;
  await recordAnswer('of a replaced holder', '/return', { ...order, token: holder - 1 });
  await recordAnswer('without a token', '/return', { machines: ['i-000001'] });
  await recordAnswer('with a malformed token', '/return', { ...order, token: '7' });
  const moves = [{ machine: 'i-000001', to: 2 }];
  await recordAnswer('to a node that holds no such share', '/move', { from: 1, moves, token: leader });
  await recordAnswer('of a replaced leader', '/move', { from: 1, moves, token: leader - 1 });
  await recordAnswer('without a token', '/move', { from: 1, moves });
  await recordAnswer('for a share of another node', '/heed', [[1, holder, 'job-000412', 900]]);
  await recordAnswer('with malformed rows', '/heed', [
    [1, holder],
    'job-000412',
    [1, holder, 'job-000412', 900],
  ]);
  await recordAnswer('with another body', '/heed', { job: 'job-000412' });
  await recordAnswer('that does not exist', '/nothing', {});
};

const recordDuties = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  const path = '/admin/v1/duties';
  const recordAnswer = async (method: string, tail: string, from = ADMIN_ADDRESS): Promise<void> => {
    recording[`${method} ${path}${tail} from ${from}: answer`] = await controller.request(
      method,
      `${path}${tail}`,
      undefined,
      from,
    );
  };
  await recordAnswer('GET', '');
  await recordAnswer('GET', '/move');
  await recordAnswer('GET', '/preempt');
  await recordAnswer('GET', '/lease-out');
  await recordAnswer('GET', '/rent/x');
  await recordAnswer('POST', '/rent');
  await recordAnswer('GET', '', UNAUTHORIZED_ADDRESS);
};

/** Orders to an unreachable holder, relayed through the key-value store. */
const recordRelay = async (
  controller: HarnessedController,
  environment: LeaderEnvironment,
  recording: Record<string, unknown>,
): Promise<void> => {
  environment.silent.add('n2');
  await controller.advance(PEER_SILENCE_MS);
  const summary = recordedJson('other-holder', 'relayed summary w/s/2') as object;
  const claim = controller.state.version('w/c/2');
  await controller.seed('w/s/2', JSON.stringify({ ...summary, claim }));
  await controller.advance(RELAY_MS);
  recording['relayed orders w/o/2'] = masked(controller.storedValue('w/o/2'));
  const { when } = valueOf(controller.firstTransaction('w/o/2')) as { when: unknown };
  recording['relayed orders: conditions'] = toRecordedMessage(when);
  for (const from of ['n1', 'n9'])
    recording[`/beat of ${from}: answer`] = maskedReply(
      await controller.requestFromPeer('/beat', {
        ...(recordedValue('first-beats', 'n1 to n0') as object),
        from,
      }),
    );
};

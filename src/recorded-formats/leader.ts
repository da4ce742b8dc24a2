/** The leader: what it rents, releases, adopts and orders, and what it tells operators. */
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

/** ms in which requests left open are settled, the machine list is read and a plan is made. */
const PLANNED_MS = 4_000;
/** ms in which a change of the shared keys shows. */
const SHOWN_MS = 500;
/** ms in which outcomes are written. */
const OUTCOMES_MS = 4_000;
/** ms after which a peer that says nothing is no longer heard. */
const UNHEARD_MS = 3_000;
/** ms in which moves that showed nowhere are ordered once more, by the relay. */
const RELAYED_MS = 6_000;

/** Requests that an earlier leader left open: one to repeat, one to abandon, and one that cannot be read. */
const BOOK_JSON = JSON.stringify({
  t: 1,
  o: [
    { n: 'r-1-7', b: 'g8', z: 'x', p: true, s: [0, 2], a: START_MS - 5_000 },
    { n: 'r-1-8', b: 'g8', z: 'y', p: false, s: [1], a: START_MS - 60_000 },
    { n: 'r-1-9', b: 'g8' },
  ],
  d: [{ n: 'r-1-6', o: 'rented', m: 2, a: START_MS - 90_000 }],
});
const RELEASED_JSON =
  `{"s":2,"b":"g8","z":"x","p":false,"t":${START_MS},"r":true,` +
  '"a":"i-000800:9000","n":3,"i":["img-1"],"w":"idle","k":5}';
const RELEASED_EARLIER_JSON = `{"s":2,"b":"g8","z":"x","p":false,"t":${START_MS},"r":true}`;

const listed = (uid: string, status: string): object => ({
  uid,
  addr: `${uid}:9000`,
  breed: 'g8',
  paddock: 'x',
  agistment: true,
  status,
  ageS: 500.5,
});

/** The cloud, and peers that have something to say. */
class Surroundings {
  /** Rental requests under new names wait until this is resolved. */
  private readonly rentable: Promise<void>;
  private open: () => void = () => undefined;
  releases = false;
  private rented = false;
  readonly silent = new Set<string>();

  constructor() {
    this.rentable = new Promise((resolve) => {
      this.open = resolve;
    });
  }

  answerRentals(): void {
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
      return this.releases ? { status: 200, body: {} } : { status: 503, body: { error: 'trouble' } };
    if (method !== 'POST') return { status: 503, body: { error: 'trouble' } };
    const { hire, howMany } = valueOf(request) as { hire: string; howMany: number };
    if (hire === 'r-1-7') return { status: 200, body: { drovers: ['i-000600', 'i-000601'] } };
    await this.rentable;
    if (this.rented) return { status: 503, body: { error: 'no capacity' } };
    this.rented = true;
    return { status: 200, body: { drovers: machineIds(700, howMany) } };
  }

  private list(path: string): StubAnswer {
    if (path.includes('since=')) return { status: 200, body: { drovers: [], more: false } };
    const drovers = [
      listed('i-000001', 'running'),
      listed('i-000777', 'running'),
      listed('i-000778', 'starting'),
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
  await controller.seed('w/m/i-000800', RELEASED_JSON);
  await controller.seed('w/m/i-000801', RELEASED_EARLIER_JSON);
  await controller.seed('i/rent', BOOK_JSON);
  return controller;
};

/** Records the leader. */
export const recordLeader = async (): Promise<Recording> => {
  const controller = await preparedLeader();
  return recordWith(controller, async (recording) => {
    const surroundings = new Surroundings();
    controller.respond = surroundings.respond;
    controller.start();
    await controller.advance(STARTUP_MS + PLANNED_MS);
    await recordOrdersToLeader(controller, surroundings, recording);
    await controller.seed('w/c/2', '{"n":"n2","i":"n2.2"}');
    await controller.advance(SHOWN_MS);
    await recordDuties(controller, recording);
    recording['book of rental requests i/rent, with an open one'] = controller.storedValue('i/rent');
    surroundings.answerRentals();
    surroundings.releases = true;
    await controller.advance(OUTCOMES_MS);
    recordDecisions(controller, recording);
    await recordRelay(controller, surroundings, recording);
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
  const cloud = (what: string, matches: (request: SentRequest) => boolean): object =>
    toRecordedRequest(controller.firstSent(what, (request) => request.to === 'cloud' && matches(request)));
  recording['cloud: catalog'] = cloud('question for the catalog', ({ path }) => path === '/catalog');
  recording['cloud: rental request that is repeated'] = cloud(
    'rental request',
    ({ path }) => path === '/machines',
  );
  recording['cloud: rental request'] = cloud(
    'rental request of its own',
    (request) => request.path === '/machines' && (valueOf(request) as { hire: string }).hire !== 'r-1-7',
  );
  recording['cloud: all rental requests'] = controller.sent
    .filter(({ to, method, path }) => to === 'cloud' && method === 'POST' && path === '/machines')
    .map(valueOf);
  recording['cloud: release'] = cloud('release', ({ path }) => path === '/machines/release');
  recording['cloud: list'] = cloud('list', ({ path }) => path.startsWith('/machines?'));
  recording['cloud: next page of the list'] = cloud('next page', ({ path }) => path.includes('since='));
};

/** Orders that holders send the leader, and orders that come to the wrong node or from a replaced one. */
const recordOrdersToLeader = async (
  controller: HarnessedController,
  surroundings: Surroundings,
  recording: Record<string, unknown>,
): Promise<void> => {
  const leader = controller.state.version('w/c/L');
  const holder = controller.state.version('w/c/1');
  const order = recordedValue('stored-values', 'order to return machines, as sent') as object;
  const ask = async (what: string, path: string, body?: unknown): Promise<void> => {
    recording[`${path} ${what}: answer`] = await controller.requestFromPeer(path, body);
  };
  await ask('that the cloud does not carry out', '/return', { ...order, token: holder });
  surroundings.releases = true;
  await ask('of the present holder', '/return', { ...order, token: holder });
  surroundings.releases = false;
  await ask('of a replaced holder', '/return', { ...order, token: holder - 1 });
  await ask('without a token', '/return', { machines: ['i-000001'] });
  await ask('with a malformed token', '/return', { ...order, token: '7' });
  const moves = [{ machine: 'i-000001', to: 2 }];
  await ask('to a node that holds no such share', '/move', { from: 1, moves, token: leader });
  await ask('of a replaced leader', '/move', { from: 1, moves, token: leader - 1 });
  await ask('without a token', '/move', { from: 1, moves });
  await ask('for a share of another node', '/heed', [[1, holder, 'job-000412', 900]]);
  await ask('with malformed rows', '/heed', [[1, holder], 'job-000412', [1, holder, 'job-000412', 900]]);
  await ask('with another body', '/heed', { job: 'job-000412' });
  await ask('that does not exist', '/nothing', {});
};

const recordDuties = async (
  controller: HarnessedController,
  recording: Record<string, unknown>,
): Promise<void> => {
  const path = '/admin/v1/duties';
  const ask = async (method: string, tail: string, from = ADMIN_ADDRESS): Promise<void> => {
    recording[`${method} ${path}${tail} from ${from}: answer`] = await controller.request(
      method,
      `${path}${tail}`,
      undefined,
      from,
    );
  };
  await ask('GET', '');
  await ask('GET', '/move');
  await ask('GET', '/preempt');
  await ask('GET', '/lease-out');
  await ask('GET', '/rent/x');
  await ask('POST', '/rent');
  await ask('GET', '', UNAUTHORIZED_ADDRESS);
};

/** A holder that cannot be heard is ordered through the state service. */
const recordRelay = async (
  controller: HarnessedController,
  surroundings: Surroundings,
  recording: Record<string, unknown>,
): Promise<void> => {
  surroundings.silent.add('n2');
  await controller.advance(UNHEARD_MS);
  const summary = recordedJson('other-holder', 'relayed summary w/s/2') as object;
  const claim = controller.state.version('w/c/2');
  await controller.seed('w/s/2', JSON.stringify({ ...summary, claim }));
  await controller.advance(RELAYED_MS);
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

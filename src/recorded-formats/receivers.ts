/** What controllers make of the leader's recorded orders and reservations. */
import { peerResponder, prepareController, recordedJson, recordWith, STARTUP_MS } from './deployment.js';
import { decode } from '../http/msgpack.js';
import { recordedValue, type Recording } from './fixtures.js';
import {
  machineIds,
  ReportingWorker,
  submissionOf,
  type HarnessedController,
  type Responder,
} from './harness.js';

/** ms until what was reported or submitted is placed. */
const PLACED_MS = 2_000;
const MACHINES_OF_SHARE_2 = machineIds(28, 4);
const SMALL_JOB = {
  shape: 'sweep',
  owner: 'green',
  urgency: 'standard',
  heads: 1,
  vcpus: 2,
  accelerators: 0,
  memoryGb: 1,
  together: false,
};

/** The holder of share 2 with machines that are idle. */
const withIdleMachines = async (controller: HarnessedController, respond: Responder): Promise<void> => {
  const workers = MACHINES_OF_SHARE_2.map((id) => new ReportingWorker(controller, id));
  for (const worker of workers) await controller.seed(`w/m/${worker.id}`, worker.recordJson(2));
  controller.respond = respond;
  controller.start();
  await controller.advance(STARTUP_MS);
  for (const worker of [...workers, ...workers]) await worker.sendHeartbeat();
  await controller.advance(PLACED_MS);
};

/** An order of the leader, sent directly. */
const recordDirectOrder = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    await withIdleMachines(controller, peerResponder('n2'));
    const order = (recordedJson('leader', 'order to a holder') as { body: { bytes: string } }).body.bytes;
    const token = controller.state.version('w/c/L');
    const body = { ...(decode(Buffer.from(order, 'base64')) as object), token };
    recording['order to the holder: answer'] = await controller.requestFromPeer('/move', body);
    recording['order of a replaced leader: answer'] = await controller.requestFromPeer('/move', {
      ...body,
      token: token - 1,
    });
    await controller.advance(PLACED_MS);
    recording['machines after the order'] = MACHINES_OF_SHARE_2.map((id) =>
      controller.storedValue(`w/m/${id}`),
    );
  });
};

/** An order of the leader, through the state service. */
const recordRelayedOrder = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    await withIdleMachines(controller, () => null);
    const leader = controller.state.version('w/c/L');
    const orders = recordedJson('leader', 'relayed orders w/o/2') as object;
    await controller.seed('w/o/2', JSON.stringify({ ...orders, leader: leader - 1 }));
    await controller.advance(PLACED_MS);
    const shares = (): unknown =>
      MACHINES_OF_SHARE_2.map((id) => (controller.storedValue(`w/m/${id}`) as { s: number }).s);
    recording['shares after relayed orders of a replaced leader'] = shares();
    await controller.seed('w/o/2', JSON.stringify({ ...orders, leader }));
    await controller.advance(PLACED_MS);
    recording['shares after relayed orders'] = shares();
  });
};

/** Work of lower priority leaves machines alone that the leader gathers for a gang of another share. */
const recordReservation = async (reserved: boolean): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    const others = peerResponder('n2');
    const beat = recordedValue('leader', 'beat with reservations');
    await withIdleMachines(controller, (request) =>
      reserved && request.to === 'n0' && request.path === '/beat'
        ? { status: 200, body: beat }
        : others(request),
    );
    await controller.request('POST', '/v2/runs', submissionOf({ ...SMALL_JOB, uid: 'job-000600' }));
    await controller.advance(PLACED_MS);
    recording[`a small job is placed ${reserved ? 'beside a reservation' : 'without a reservation'}`] =
      controller.state.keys('r/2/').length > 0;
  });
};

/** Task counts of another holder's jobs, for display. */
const recordCounts = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    const job = JSON.stringify(recordedJson('holder', 'record w/j/job-000413'));
    await controller.seed('w/j/job-000413', job);
    const others = peerResponder('n2');
    const beat = recordedValue('holder', 'beat to a peer');
    await withIdleMachines(controller, (request) =>
      request.to === 'n1' && request.path === '/beat' ? { status: 200, body: beat } : others(request),
    );
    recording["question for another holder's job: answer"] = await controller.request(
      'GET',
      '/v2/runs/job-000413',
    );
  });
};

/** Records the receivers. */
export const recordReceivers = async (): Promise<Recording> => ({
  ...(await recordDirectOrder()),
  ...(await recordRelayedOrder()),
  ...(await recordReservation(false)),
  ...(await recordReservation(true)),
  ...(await recordCounts()),
});

/** How controllers handle recorded orders and reservations of the leader, and task counts of others. */
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

/** ms until workers' heartbeats and submitted jobs lead to placements. */
const PLACEMENT_MS = 2_000;
const MACHINES_OF_SHARD_2 = machineIds(28, 4);
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

/** Starts the holder of shard 2 with idle machines. */
const startWithIdleMachines = async (controller: HarnessedController, respond: Responder): Promise<void> => {
  const workers = MACHINES_OF_SHARD_2.map((id) => new ReportingWorker(controller, id));
  for (const worker of workers) await controller.seed(`w/m/${worker.id}`, worker.recordJson(2));
  controller.respond = respond;
  controller.start();
  await controller.advance(STARTUP_MS);
  for (const worker of [...workers, ...workers]) await worker.sendHeartbeat();
  await controller.advance(PLACEMENT_MS);
};

/** The leader's transfer order in a request. */
const recordDirectOrder = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    await startWithIdleMachines(controller, peerResponder('n2'));
    const orderBytes = (recordedJson('leader', 'order to a holder') as { body: { bytes: string } }).body
      .bytes;
    const token = controller.state.version('w/c/L');
    const body = { ...(decode(Buffer.from(orderBytes, 'base64')) as object), token };
    recording['order to the holder: answer'] = await controller.requestFromPeer('/move', body);
    recording['order of a replaced leader: answer'] = await controller.requestFromPeer('/move', {
      ...body,
      token: token - 1,
    });
    await controller.advance(PLACEMENT_MS);
    recording['machines after the order'] = MACHINES_OF_SHARD_2.map((id) =>
      controller.storedValue(`w/m/${id}`),
    );
  });
};

/** The leader's transfer orders, relayed through the key-value store. */
const recordRelayedOrder = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    await startWithIdleMachines(controller, () => null);
    const leader = controller.state.version('w/c/L');
    const orders = recordedJson('leader', 'relayed orders w/o/2') as object;
    await controller.seed('w/o/2', JSON.stringify({ ...orders, leader: leader - 1 }));
    await controller.advance(PLACEMENT_MS);
    const shardIds = (): unknown =>
      MACHINES_OF_SHARD_2.map((id) => (controller.storedValue(`w/m/${id}`) as { s: number }).s);
    recording['shares after relayed orders of a replaced leader'] = shardIds();
    await controller.seed('w/o/2', JSON.stringify({ ...orders, leader }));
    await controller.advance(PLACEMENT_MS);
    recording['shares after relayed orders'] = shardIds();
  });
};

/** A job of lower priority is not placed on machines that the leader reserves for a gang of another shard. */
const recordReservation = async (reserved: boolean): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    const peers = peerResponder('n2');
    const heartbeat = recordedValue('leader', 'beat with reservations');
    await startWithIdleMachines(controller, (request) =>
      reserved && request.to === 'n0' && request.path === '/beat'
        ? { status: 200, body: heartbeat }
        : peers(request),
    );
    await controller.request('POST', '/v2/runs', submissionOf({ ...SMALL_JOB, uid: 'job-000600' }));
    await controller.advance(PLACEMENT_MS);
    recording[`a small job is placed ${reserved ? 'beside a reservation' : 'without a reservation'}`] =
      controller.state.keys('r/2/').length > 0;
  });
};

/** Task counts of another holder's jobs, which the controller only displays. */
const recordTaskCounts = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    const job = JSON.stringify(recordedJson('holder', 'record w/j/job-000413'));
    await controller.seed('w/j/job-000413', job);
    const peers = peerResponder('n2');
    const heartbeat = recordedValue('holder', 'beat to a peer');
    await startWithIdleMachines(controller, (request) =>
      request.to === 'n1' && request.path === '/beat' ? { status: 200, body: heartbeat } : peers(request),
    );
    recording["question for another holder's job: answer"] = await controller.request(
      'GET',
      '/v2/runs/job-000413',
    );
  });
};

/** Records how controllers handle these messages. */
export const recordReceivers = async (): Promise<Recording> => ({
  ...(await recordDirectOrder()),
  ...(await recordRelayedOrder()),
  ...(await recordReservation(false)),
  ...(await recordReservation(true)),
  ...(await recordTaskCounts()),
});

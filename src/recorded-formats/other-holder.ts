/**
 * The holder of shard 2: workers of shard 1 send it heartbeats too, and it asks the holder of shard 1 to
 * acknowledge cancellations.
 */
import { prepareController, peerResponder, recordWith, STARTUP_MS } from './deployment.js';
import { type Recording } from './fixtures.js';
import {
  machineIds,
  masked,
  toRecordedRequest,
  ReportingWorker,
  START_MS,
  type SentRequest,
  type StubAnswer,
} from './harness.js';

/** Machines of shard 1, and machines of shard 2. */
const MACHINES_OF_SHARD_1 = machineIds(1, 27);
const MACHINES_OF_SHARD_2 = machineIds(28, 30);
/** ms until the controller's heartbeats reflect the workers' heartbeats. */
const PROPAGATION_MS = 1_500;
/** ms without an answer until peers count as unreachable and the summary is relayed through the store. */
const PEER_SILENCE_MS = 6_000;
/** Fixed values for volatile fields of a summary; its revision changes with each relayed summary. */
const MASKED_SUMMARY_FIELDS = { idleS: 3.25, waitedMs: 0, revision: 900 };

/** A job of the team of shard 1, as it is stored. */
const JOB_JSON =
  '{"s":["job-000500","train","blue","array",1,2,8,1,64,null,null,false,false,true,"img",1,8,0,0,null],' +
  `"t":${START_MS},"c":false}`;

/** Records the holder of shard 2. */
export const recordOtherHolder = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    const misrouted = MACHINES_OF_SHARD_1.map((id) => new ReportingWorker(controller, id));
    const own = MACHINES_OF_SHARD_2.map((id) => new ReportingWorker(controller, id));
    for (const worker of misrouted) await controller.seed(`w/m/${worker.id}`, worker.recordJson(1));
    for (const worker of own) await controller.seed(`w/m/${worker.id}`, worker.recordJson(2));
    for (const id of ['job-000500', 'job-000501'])
      await controller.seed(`w/j/${id}`, JOB_JSON.replace('job-000500', id));
    let holderAnswer: StubAnswer = { status: 200, body: { heeded: [true] } };
    const peers = peerResponder('n2');
    controller.respond = (request: SentRequest) => (request.path === '/heed' ? holderAnswer : peers(request));
    controller.start();
    await controller.advance(STARTUP_MS);
    for (const worker of [...own, ...own]) await worker.sendHeartbeat();
    for (const worker of misrouted) await worker.sendHeartbeat();
    await controller.advance(PROPAGATION_MS);
    for (const worker of own) await worker.sendHeartbeat();
    await controller.advance(PROPAGATION_MS);
    recording['beat to the leader'] = controller.lastHeartbeat('n0');
    recording['beat to a peer, with strays'] = controller.lastHeartbeat('n1');

    recording['cancellation that the holder acknowledges: answer'] = await controller.request(
      'POST',
      '/v2/runs/job-000500/abort',
    );
    recording['question to the holder'] = toRecordedRequest(
      controller.firstSent('question to a holder', ({ path }) => path === '/heed'),
    );
    holderAnswer = { status: 200, body: { heeded: [false] } };
    recording['cancellation that the holder does not acknowledge: answer'] = await controller.request(
      'POST',
      '/v2/runs/job-000501/abort',
    );

    controller.respond = () => null;
    await controller.advance(PEER_SILENCE_MS);
    recording['relayed summary w/s/2'] = masked(controller.storedValue('w/s/2'), MASKED_SUMMARY_FIELDS);
  });
};

/**
 * The holder of share 2, which is heard by machines of another share too and confirms a cancellation by its
 * holder.
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

/** The machines of share 1, and those of share 2. */
const MACHINES_OF_SHARE_1 = machineIds(1, 27);
const MACHINES_OF_SHARE_2 = machineIds(28, 30);
/** ms until what was reported shows in the heartbeats. */
const SHOWN_MS = 1_500;
/** ms after which a peer that says nothing is no longer heard, and a relayed summary is written. */
const UNHEARD_MS = 6_000;
/** The revision that a summary reflects moves with each relayed one. */
const RELAYED = { idleS: 3.25, waitedMs: 0, revision: 900 };

/** A job of share 1's team, as it is stored. */
const JOB_JSON =
  '{"s":["job-000500","train","blue","array",1,2,8,1,64,null,null,false,false,true,"img",1,8,0,0,null],' +
  `"t":${START_MS},"c":false}`;

/** Records the holder of share 2. */
export const recordOtherHolder = async (): Promise<Recording> => {
  const controller = await prepareController('n2');
  return recordWith(controller, async (recording) => {
    const strays = MACHINES_OF_SHARE_1.map((id) => new ReportingWorker(controller, id));
    const own = MACHINES_OF_SHARE_2.map((id) => new ReportingWorker(controller, id));
    for (const worker of strays) await controller.seed(`w/m/${worker.id}`, worker.recordJson(1));
    for (const worker of own) await controller.seed(`w/m/${worker.id}`, worker.recordJson(2));
    for (const id of ['job-000500', 'job-000501'])
      await controller.seed(`w/j/${id}`, JOB_JSON.replace('job-000500', id));
    let heeded: StubAnswer = { status: 200, body: { heeded: [true] } };
    const beats = peerResponder('n2');
    controller.respond = (request: SentRequest) => (request.path === '/heed' ? heeded : beats(request));
    controller.start();
    await controller.advance(STARTUP_MS);
    for (const worker of [...own, ...own]) await worker.sendHeartbeat();
    for (const worker of strays) await worker.sendHeartbeat();
    await controller.advance(SHOWN_MS);
    for (const worker of own) await worker.sendHeartbeat();
    await controller.advance(SHOWN_MS);
    recording['beat to the leader'] = controller.lastHeartbeat('n0');
    recording['beat to a peer, with strays'] = controller.lastHeartbeat('n1');

    recording['cancellation that the holder acknowledges: answer'] = await controller.request(
      'POST',
      '/v2/runs/job-000500/abort',
    );
    recording['question to the holder'] = toRecordedRequest(
      controller.firstSent('question to a holder', ({ path }) => path === '/heed'),
    );
    heeded = { status: 200, body: { heeded: [false] } };
    recording['cancellation that the holder does not acknowledge: answer'] = await controller.request(
      'POST',
      '/v2/runs/job-000501/abort',
    );

    controller.respond = () => null;
    await controller.advance(UNHEARD_MS);
    recording['relayed summary w/s/2'] = masked(controller.storedValue('w/s/2'), RELAYED);
  });
};

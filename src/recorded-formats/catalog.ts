/** A catalog that one value cannot hold: as it is stored, and as another controller reads it. */
import { peerResponder, recordWith, STARTUP_MS } from './deployment.js';
import { readFixture, type Recording } from './fixtures.js';
import { HarnessedController, submissionOf, type SentRequest, type StubAnswer } from './harness.js';

/** ms in which the catalog is read and stored. */
const STORED_MS = 3_000;

const breed = (k: number): object => ({
  sku: `g${k}`,
  vcpus: 64 + k,
  accelerators: 8,
  memoryGb: 256.5,
  localGb: 100,
  pullGbPerS: 1,
  hourly: 8.5,
  marketPrice: 2.25,
  readyS: 40 + k,
  paddocks: ['x', 'y'],
});
const BREEDS = Array.from({ length: 24 }, (_, k) => breed(k));

const recordWriting = async (): Promise<Recording> => {
  const controller = new HarnessedController('n0');
  return recordWith(controller, async (recording) => {
    await controller.seed('w/level', '{"v":2}');
    await controller.seedClaims({ 1: 'n1', 2: 'n2' });
    const peers = peerResponder('n0');
    controller.respond = (request: SentRequest): StubAnswer | Promise<StubAnswer> =>
      request.path === '/catalog' ? { status: 200, body: { breeds: BREEDS } } : peers(request);
    controller.start();
    await controller.advance(STARTUP_MS + STORED_MS);
    for (const key of controller.state.keys('w/catalog'))
      recording[`stored ${key}`] = controller.storedValue(key);
  });
};

const recordReading = async (stored: Recording): Promise<Recording> => {
  const controller = new HarnessedController('n1');
  return recordWith(controller, async (recording) => {
    await controller.seed('w/level', '{"v":2}');
    await controller.seedClaims({ 0: 'n0', 2: 'n2', L: 'n0' });
    const changes = Object.entries(stored)
      .filter(([name]) => name.startsWith('stored '))
      .map(([name, data]) => ({ write: name.slice('stored '.length), data }));
    await controller.state.handle('seed', 'POST', '/txn', { when: [], writes: changes });
    controller.respond = peerResponder('n1');
    controller.start();
    await controller.advance(STARTUP_MS);
    recording['readiness with a catalog in parts: answer'] = await controller.request('GET', '/ready');
    const large = { heads: 1, together: false, breeds: null, vcpus: 87 };
    recording['a task that the last type holds: answer'] = await controller.request(
      'POST',
      '/v2/runs',
      submissionOf({ ...large, uid: 'job-000420' }),
    );
    recording['a task that no type holds: answer'] = await controller.request(
      'POST',
      '/v2/runs',
      submissionOf({ ...large, uid: 'job-000421', vcpus: 87.5 }),
    );
  });
};

/** Records the catalog; it is read from the fixture once there is one. */
export const recordCatalog = async (first = false): Promise<Recording> => {
  const stored = await recordWriting();
  return { ...stored, ...(await recordReading(first ? stored : readFixture('catalog'))) };
};

/** Controllers of the recorded deployment: who holds what, and how the others answer. */
import { readFixture, recordedValue, type Recording } from './fixtures.js';
import {
  CATALOG_JSON,
  HarnessedController,
  type Node,
  type Responder,
  type SentRequest,
  type StubAnswer,
} from './harness.js';

/** Claims of the other controllers, by the one that is recorded. */
const CLAIMS_OF_OTHERS: Readonly<Record<Node, Readonly<Record<string, Node>>>> = {
  n0: { 1: 'n1', 2: 'n2' },
  n1: { 0: 'n0', 2: 'n2', L: 'n0' },
  n2: { 0: 'n0', 1: 'n1', L: 'n0' },
};
const NODES = ['n0', 'n1', 'n2'] as const;
/** ms in which a controller reads the shared keys, gets its lease and takes its claims. */
export const STARTUP_MS = 2_000;
/** ms in which every peer is heard, and what a holder says of itself has followed its last change. */
const HEARD_MS = 3_000;

/** A controller that does not run yet, with the catalog, the level and the others' claims stored. */
export const prepareController = async (node: Node, { level = true } = {}): Promise<HarnessedController> => {
  const controller = new HarnessedController(node);
  await controller.seed('w/catalog', CATALOG_JSON);
  if (level) await controller.seed('w/level', '{"v":2}');
  await controller.seedClaims(CLAIMS_OF_OTHERS[node]);
  return controller;
};

/** Peers answer heartbeats with what they said when they had just started. */
export const peerResponder =
  (node: Node): Responder =>
  ({ to, path }: SentRequest): StubAnswer =>
    path === '/beat' && to !== 'cloud'
      ? { status: 200, body: recordedValue('first-beats', `${to} to ${node}`) }
      : null;

/** Runs a scene with a controller, and ends it whatever happens. */
export const recordWith = async (
  controller: HarnessedController,
  scene: (recording: Record<string, unknown>) => Promise<void>,
): Promise<Recording> => {
  const recording: Record<string, unknown> = {};
  try {
    await scene(recording);
  } finally {
    await controller.stop();
  }
  return recording;
};

/** The value of a recorded JSON entry. */
export const recordedJson = (fixture: string, entry: string): unknown => readFixture(fixture)[entry];

/** What each controller says first, when nobody answers it yet. */
export const recordFirstHeartbeats = async (): Promise<Recording> => {
  const beats: Record<string, unknown> = {};
  for (const node of NODES) {
    const controller = await prepareController(node);
    const recorded = await recordWith(controller, async (recording) => {
      controller.start();
      await controller.advance(STARTUP_MS + HEARD_MS);
      for (const to of NODES) if (to !== node) recording[`${node} to ${to}`] = controller.lastHeartbeat(to);
    });
    Object.assign(beats, recorded);
  }
  return beats;
};

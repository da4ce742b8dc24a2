/** The recorded deployment: which controller holds which claims, and how peers answer the recorded one. */
import { readFixture, recordedValue, type Recording } from './fixtures.js';
import {
  CATALOG_JSON,
  HarnessedController,
  type Node,
  type Responder,
  type SentRequest,
  type StubAnswer,
} from './harness.js';

/** By the recorded controller: claims that the other controllers hold, each with its holder. */
const CLAIMS_OF_OTHERS: Readonly<Record<Node, Readonly<Record<string, Node>>>> = {
  n0: { 1: 'n1', 2: 'n2' },
  n1: { 0: 'n0', 2: 'n2', L: 'n0' },
  n2: { 0: 'n0', 1: 'n1', L: 'n0' },
};
const NODES = ['n0', 'n1', 'n2'] as const;
/** ms in which a starting controller reads the shared keys, acquires its lease and takes its claims. */
export const STARTUP_MS = 2_000;
/** ms in which heartbeats with every peer are exchanged and the controller's own heartbeat is up to date. */
const HEARTBEAT_EXCHANGE_MS = 3_000;

/**
 * A controller that is not started yet; the catalog, the protocol version (unless `level` is false) and the
 * other controllers' claims are stored.
 */
export const prepareController = async (node: Node, { level = true } = {}): Promise<HarnessedController> => {
  const controller = new HarnessedController(node);
  await controller.seed('w/catalog', CATALOG_JSON);
  if (level) await controller.seed('w/level', '{"v":2}');
  await controller.seedClaims(CLAIMS_OF_OTHERS[node]);
  return controller;
};

/** Answers requests of a controller: peers answer heartbeats with their recorded first heartbeat to it. */
export const peerResponder =
  (node: Node): Responder =>
  ({ to, path }: SentRequest): StubAnswer =>
    path === '/beat' && to !== 'cloud'
      ? { status: 200, body: recordedValue('first-beats', `${to} to ${node}`) }
      : null;

/** Runs a scenario that fills a recording, and stops the controller afterwards, also after a failure. */
export const recordWith = async (
  controller: HarnessedController,
  scenario: (recording: Record<string, unknown>) => Promise<void>,
): Promise<Recording> => {
  const recording: Record<string, unknown> = {};
  try {
    await scenario(recording);
  } finally {
    await controller.stop();
  }
  return recording;
};

/** An entry of a fixture that is recorded as JSON. */
export const recordedJson = (fixture: string, entry: string): unknown => readFixture(fixture)[entry];

/** Records the heartbeats that each controller sends while no peer has answered yet. */
export const recordFirstHeartbeats = async (): Promise<Recording> => {
  const heartbeats: Record<string, unknown> = {};
  for (const node of NODES) {
    const controller = await prepareController(node);
    const recorded = await recordWith(controller, async (recording) => {
      controller.start();
      await controller.advance(STARTUP_MS + HEARTBEAT_EXCHANGE_MS);
      for (const to of NODES) if (to !== node) recording[`${node} to ${to}`] = controller.lastHeartbeat(to);
    });
    Object.assign(heartbeats, recorded);
  }
  return heartbeats;
};

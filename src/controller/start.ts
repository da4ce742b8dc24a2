/** Starts a controller in this process, with real clocks and sockets, and listens on its two addresses. */
import { randomUUID } from 'node:crypto';
import * as Effect from 'effect/Effect';
import {
  MAX_RESPONSE_BYTES,
  MAX_BODY_BYTES,
  INCOMING_SOCKET_FRACTION,
  WORKER_CLIENT_SOCKET_FRACTION,
} from '../constants/http.js';
import { MAX_INCOMING_SOCKETS_PER_NODE } from '../constants/peers.js';
import { PooledHttpClient } from '../http/client.js';
import { parseTarget } from '../http/model.js';
import { serve } from '../http/server.js';
import { log } from '../log.js';
import type { Features } from '../settings/features.js';
import type { AdminAccess } from '../settings/networks.js';
import type { Settings } from '../settings/schema.js';
import { WorkerClient } from '../workers/worker-client.js';
import { readListenAddresses, readPeerAddresses } from './address-codec.js';
import { compose } from './compose.js';
import type { Ports } from './ports.js';
import { WORKER_HEARTBEAT_PATH } from './route-codec.js';

const MICROSECONDS_PER_MS = 1_000;

/** Returns the maximum number of open connections on the API address. */
const apiConnections = (settings: Settings): number =>
  Math.floor(settings.facts.quota.fd_limit * INCOMING_SOCKET_FRACTION);

/** Returns the maximum number of open connections on the peer address. */
const peerConnections = (settings: Settings): number =>
  (readPeerAddresses(settings).length + 1) * MAX_INCOMING_SOCKETS_PER_NODE;

/** Returns the maximum number of open connections from this process to workers. */
const workerConnections = (settings: Settings): number =>
  Math.floor(settings.facts.quota.fd_limit * WORKER_CLIENT_SOCKET_FRACTION);

/** Creates the ports of a real process. */
const processPorts = (settings: Settings): Ports => ({
  now: () => performance.now(),
  wall: () => Date.now(),
  processorMs: () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_MS;
  },
  incarnation: randomUUID(),
  createHttpClient: (target, sockets) => new PooledHttpClient(target, sockets),
  workerClient: new WorkerClient(workerConnections(settings)),
});

const logFailedRequest = (error: unknown): void =>
  log.error({ event: 'http.request_failed', error: String(error) });

/** Runs one controller in this process. */
export const start = async (
  settings: Settings,
  features: Features,
  adminAccess: AdminAccess,
): Promise<void> => {
  const addresses = readListenAddresses(settings);
  const controller = compose(settings, processPorts(settings), features, adminAccess);
  await serve(
    parseTarget(addresses.api),
    { connections: apiConnections(settings), closesWhenCrowded: (path) => path === WORKER_HEARTBEAT_PATH },
    MAX_BODY_BYTES,
    controller.route,
    logFailedRequest,
  );
  await serve(
    parseTarget(addresses.peers),
    { connections: peerConnections(settings) },
    MAX_RESPONSE_BYTES,
    controller.peerRoute,
    logFailedRequest,
  );
  log.info({
    event: 'controller.started',
    node: settings.host_name,
    zone: settings.area,
    shardCount: settings.facts.count,
    features,
  });
  await Effect.runPromise(controller.run);
};

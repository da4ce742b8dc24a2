import { randomUUID } from 'node:crypto';
import * as Effect from 'effect/Effect';
import {
  INCOMING_SOCKET_FRACTION,
  MAX_BODY_BYTES,
  MAX_RESPONSE_BYTES,
  WORKER_CLIENT_SOCKET_FRACTION,
} from './constants/http.js';
import { MAX_INCOMING_SOCKETS_PER_NODE } from './constants/peers.js';
import { Client, parseTarget, serve } from './http.js';
import { log } from './log.js';
import type { Features } from './settings/features.js';
import type { AdminAccess } from './settings/networks.js';
import { compose, type Ports } from './service.js';
import type { Settings } from './settings/schema.js';
import { WorkerClient } from './workers/worker-client.js';

const MICROSECONDS_PER_MS = 1_000;

/** Runs one controller as this process. */
export const start = async (
  settings: Settings,
  features: Features,
  adminAccess: AdminAccess,
): Promise<void> => {
  const ports: Ports = {
    now: () => performance.now(),
    wall: () => Date.now(),
    processorMs: () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / MICROSECONDS_PER_MS;
    },
    incarnation: randomUUID(),
    callers: (target, sockets) => new Client(target, sockets),
    workerClient: new WorkerClient(Math.floor(settings.facts.quota.fd_limit * WORKER_CLIENT_SOCKET_FRACTION)),
  };
  const controller = compose(settings, ports, features, adminAccess);
  const failed = (error: unknown): void => log.error({ event: 'request.failed', error: String(error) });
  const connections = Math.floor(settings.facts.quota.fd_limit * INCOMING_SOCKET_FRACTION);
  await serve(
    parseTarget(settings.api_addr),
    { connections, crowd: (path) => path === '/hello' },
    MAX_BODY_BYTES,
    controller.route,
    failed,
  );
  await serve(
    parseTarget(settings.mesh_addr),
    { connections: (settings.siblings.length + 1) * MAX_INCOMING_SOCKETS_PER_NODE },
    MAX_RESPONSE_BYTES,
    controller.peerRoute,
    failed,
  );
  log.info({
    event: 'service.started',
    node: settings.host_name,
    zone: settings.area,
    slots: settings.facts.count,
    features,
  });
  await Effect.runPromise(controller.run);
};

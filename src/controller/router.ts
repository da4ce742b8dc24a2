/** Routes requests on the API address to the subsystem that answers them. No state; `start.ts` serves it. */
import * as Effect from 'effect/Effect';
import { RETRY_AFTER_S, USER_REQUEST_TIMEOUT_MS } from '../constants/users-api.js';
import type { DutiesApi } from '../duties/admin-api.js';
import type { ServerRequest, ServerResponse } from '../http/model.js';
import type { UsersApi } from '../jobs/api.js';
import type { WorkerHeartbeatHandler } from '../workers/heartbeat-handler.js';
import { READINESS_PATH, WORKER_HEARTBEAT_PATH } from './route-codec.js';

/** The subsystems to which requests on the API address are routed. */
export interface RouterDependencies {
  /** Whether this controller is ready for users' requests. */
  readonly ready: () => boolean;
  readonly workerHeartbeats: Pick<WorkerHeartbeatHandler, 'handle'>;
  readonly users: Pick<UsersApi, 'handle'>;
  readonly duties: Pick<DutiesApi, 'handle'>;
}

/**
 * Answers a user's call with status 503 if the reply takes longer than `USER_REQUEST_TIMEOUT_MS`. Uses one
 * timer for each call, since an additional fiber that only waits would cost more than most replies.
 */
const withinTimeout = (reply: Effect.Effect<ServerResponse>): Promise<ServerResponse> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      resolve({
        status: 503,
        body: { error: 'took too long' },
        headers: { 'retry-after': String(RETRY_AFTER_S) },
      });
    }, USER_REQUEST_TIMEOUT_MS);
    Effect.runPromise(reply)
      .then(resolve, reject)
      .finally(() => clearTimeout(timer));
  });

/**
 * Creates the handler of requests on the API address: health checks, worker heartbeats, users' calls, and
 * operators' read-only calls.
 */
export const createRouter = (
  dependencies: RouterDependencies,
): ((call: ServerRequest) => Promise<ServerResponse>) => {
  const { ready, workerHeartbeats, users, duties } = dependencies;

  const routeWorkerHeartbeat = ({ method, body }: ServerRequest): Promise<ServerResponse> => {
    if (method !== 'POST') return Promise.resolve({ status: 405, headers: { allow: 'POST' } });
    return body._tag === 'value' ? workerHeartbeats.handle(body.value) : Promise.resolve({ status: 400 });
  };

  return (call) => {
    if (call.path === READINESS_PATH) return Promise.resolve({ status: ready() ? 200 : 503 });
    if (call.path === WORKER_HEARTBEAT_PATH) return routeWorkerHeartbeat(call);
    const parts = call.path.split('/').filter((part) => part !== '');
    if (parts[0] === 'v2' && parts[1] === 'runs') return withinTimeout(users.handle(call, parts.slice(2)));
    if (parts[0] === 'admin' && parts[1] === 'v1' && parts[2] === 'duties')
      return duties.handle(call, parts.slice(3));
    return Promise.resolve({ status: 404 });
  };
};

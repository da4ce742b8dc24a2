/**
 * Routes requests on the API address to the subsystem that answers them. Holds no state; `start.ts` serves
 * it.
 */
import * as Effect from 'effect/Effect';
import { RETRY_AFTER_S, USER_CALL_TIMEOUT_MS } from '../constants/users-api.js';
import type { DutiesApi } from '../duties/admin-api.js';
import type { ServerRequest, ServerResponse } from '../http.js';
import type { UsersApi } from '../jobs/api.js';
import type { WorkerHeartbeatHandler } from '../workers/heartbeat-handler.js';

/** Where workers send their heartbeats. */
export const WORKER_PATH = '/hello';

/** What requests on the API address are routed to. */
export interface RouterInput {
  /** Does this node take users' requests at least as well as the others? */
  readonly ready: () => boolean;
  readonly reports: Pick<WorkerHeartbeatHandler, 'handle'>;
  readonly users: Pick<UsersApi, 'handle'>;
  readonly duties: Pick<DutiesApi, 'handle'>;
}

/**
 * Bounds a user's call. One timer a call: a fiber for each that only waits would cost more than most answers.
 */
const withinBudget = (reply: Effect.Effect<ServerResponse>): Promise<ServerResponse> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      resolve({
        status: 503,
        body: { error: 'took too long' },
        headers: { 'retry-after': String(RETRY_AFTER_S) },
      });
    }, USER_CALL_TIMEOUT_MS);
    Effect.runPromise(reply)
      .then(resolve, reject)
      .finally(() => clearTimeout(timer));
  });

/**
 * Routes requests on the API address: health checks, workers' reports, users' calls, operators' reading
 * calls.
 */
export const createRouter =
  ({ ready, reports, users, duties }: RouterInput): ((call: ServerRequest) => Promise<ServerResponse>) =>
  (call) => {
    if (call.path === '/ready') return Promise.resolve({ status: ready() ? 200 : 503 });
    if (call.path === WORKER_PATH) {
      if (call.method !== 'POST') return Promise.resolve({ status: 405, headers: { allow: 'POST' } });
      return call.body._tag === 'value' ? reports.handle(call.body.value) : Promise.resolve({ status: 400 });
    }
    const parts = call.path.split('/').filter((part) => part !== '');
    if (parts[0] === 'v2' && parts[1] === 'runs') return withinBudget(users.handle(call, parts.slice(2)));
    if (parts[0] === 'admin' && parts[1] === 'v1' && parts[2] === 'duties')
      return duties.handle(call, parts.slice(3));
    return Promise.resolve({ status: 404 });
  };

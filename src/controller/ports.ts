/**
 * The interface between the controller and its process: `Ports` is what the process provides to the
 * controller, `Controller` what the controller provides to the process. No state.
 */
import type * as Effect from 'effect/Effect';
import type { ServerRequest, HttpClientFactory, ServerResponse } from '../http/model.js';
import type { DirectCommandSender } from '../workers/worker-client.js';

/** What a controller needs from its process; tests pass stand-ins. */
export interface Ports {
  /** The steady clock (ms). */
  readonly now: () => number;
  /** The time of day (ms since the epoch). */
  readonly wall: () => number;
  /** The processor time that this process has used (ms). */
  readonly processorMs: () => number;
  /** An id that is different for every process that ever runs as this controller. */
  readonly incarnation: string;
  readonly createHttpClient: HttpClientFactory;
  readonly workerClient: DirectCommandSender;
}

/** A composed controller. */
export interface Controller {
  /** Answers the requests of users, operators, workers and health checks on the API address. */
  readonly route: (call: ServerRequest) => Promise<ServerResponse>;
  /** Answers the requests of other controllers on the peer address. */
  readonly peerRoute: (call: ServerRequest) => Promise<ServerResponse>;
  readonly run: Effect.Effect<unknown>;
  /** Stops the shards, which have fibers of their own. */
  readonly stop: () => void;
}

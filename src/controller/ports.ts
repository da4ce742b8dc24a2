/** The interface between the controller and its process: what each provides to the other. No state. */
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
  /** Answers requests on the API address: of users, operators, workers and health checks. */
  readonly route: (call: ServerRequest) => Promise<ServerResponse>;
  /** Answers requests on the peer address: of the other controllers. */
  readonly peerRoute: (call: ServerRequest) => Promise<ServerResponse>;
  readonly run: Effect.Effect<unknown>;
  /** Stops the shards, which have fibers of their own. */
  readonly stop: () => void;
}

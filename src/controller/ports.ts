/** The controller's interface to its process: what it is given, and what it offers. No state. */
import type * as Effect from 'effect/Effect';
import type { ServerRequest, HttpClientFactory, ServerResponse } from '../http/model.js';
import type { DirectCommandSender } from '../workers/worker-client.js';

/** What a controller needs of the world outside; tests put stand-ins here. */
export interface Ports {
  /** ms, steady. */
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
  /** ms of processor time that this process has used. */
  readonly processorMs: () => number;
  /** Differs for every process that ever runs as this controller. */
  readonly incarnation: string;
  readonly createHttpClient: HttpClientFactory;
  readonly workerClient: DirectCommandSender;
}

/** A composed controller. */
export interface Controller {
  /** Users, workers and health checks. */
  readonly route: (call: ServerRequest) => Promise<ServerResponse>;
  /** The other controllers. */
  readonly peerRoute: (call: ServerRequest) => Promise<ServerResponse>;
  readonly run: Effect.Effect<unknown>;
  /** Ends the shards, which have fibers of their own. */
  readonly stop: () => void;
}

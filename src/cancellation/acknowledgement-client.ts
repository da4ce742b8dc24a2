/**
 * Requests the acknowledgement of cancellations from the controllers that hold the shards of the jobs. Owns
 * one batcher for each of these controllers, which collects cancellations and sends them in one request.
 * `acknowledgement.ts` calls it.
 */
import { Batcher } from '../concurrency/batcher.js';
import {
  ACKNOWLEDGEMENT_BATCH_DELAY_MS,
  MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT,
} from '../constants/cancellation.js';
import { PEER_PATHS } from '../peers/request-codec.js';
import { readAcknowledgeReply, writeAcknowledgeRequest } from './codec.js';
import type { Cancellation } from './model.js';

/** Sends a request to another controller. Resolves to the body of the response; null: no usable response. */
export type PeerRequest = (node: string, path: string, body: unknown) => Promise<unknown>;

/** Requests acknowledgements from the holders of shards, for several cancellations in one request. */
export class AcknowledgementClient {
  private readonly batchers = new Map<string, Batcher<Cancellation, boolean>>();

  constructor(private readonly request: PeerRequest) {}

  /** Resolves to whether the controller acknowledges the cancellation; false also if it does not answer. */
  requestAcknowledgement(node: string, cancellation: Cancellation): Promise<boolean> {
    return this.batcherFor(node).submit(cancellation);
  }

  private batcherFor(node: string): Batcher<Cancellation, boolean> {
    const existing = this.batchers.get(node);
    if (existing) return existing;
    const batcher = new Batcher<Cancellation, boolean>(
      ACKNOWLEDGEMENT_BATCH_DELAY_MS,
      MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT,
      (cancellations) => this.send(node, cancellations),
    );
    this.batchers.set(node, batcher);
    return batcher;
  }

  private async send(node: string, cancellations: readonly Cancellation[]): Promise<readonly boolean[]> {
    const reply = await this.request(node, PEER_PATHS.acknowledge, writeAcknowledgeRequest(cancellations));
    return readAcknowledgeReply(reply, cancellations.length);
  }
}

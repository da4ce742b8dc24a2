/**
 * Asks the holders of shards whether they act on cancellations. Owns the cancellations that wait to go to
 * each holder in one request; the acknowledgement of cancellations calls it.
 */
import { Batcher } from '../concurrency/batcher.js';
import {
  ACKNOWLEDGEMENT_BATCH_DELAY_MS,
  MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT,
} from '../constants/cancellation.js';
import { PEER_PATHS } from '../peers/request-codec.js';
import { readAcknowledgeReply, writeAcknowledgeRequest } from './codec.js';
import type { Cancellation } from './model.js';

/** Sends a request to another controller; the body of its answer, or null. */
export type PeerRequest = (node: string, path: string, body: unknown) => Promise<unknown>;

/** Requests to the holders of shards, a batch a holder. */
export class AcknowledgementClient {
  private readonly batchers = new Map<string, Batcher<Cancellation, boolean>>();

  constructor(private readonly request: PeerRequest) {}

  /** Does this controller act on the cancellation? False also where it did not answer. */
  requestAcknowledgement(node: string, cancellation: Cancellation): Promise<boolean> {
    return this.batcherFor(node).submit(cancellation);
  }

  private batcherFor(node: string): Batcher<Cancellation, boolean> {
    const present = this.batchers.get(node);
    if (present) return present;
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

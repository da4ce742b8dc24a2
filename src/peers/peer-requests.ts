/**
 * Answers requests of other controllers that are not heartbeats: orders to transfer or release machines, and
 * requests to the holder of a shard to acknowledge cancellations. Checks the fencing token before an order is
 * carried out. No state; the peer network calls it.
 */
import { readAcknowledgeRequest, writeAcknowledgeReply } from '../cancellation/codec.js';
import type { Cancellation } from '../cancellation/model.js';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import type { OrderVerifier, OrderVerdict } from '../duties/order-verifier.js';
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { ServerResponse } from '../http/model.js';
import {
  readTransferOrder,
  readOrderToken,
  readReleaseOrder,
  writeMalformedOrder,
  writeTransferAnswer,
  writeReleaseAnswer,
  writeStaleOrder,
} from './order-codec.js';
import { PEER_PATHS } from './request-codec.js';

/** What the answers to peer requests need of the rest of the controller. */
export interface PeerRequestsDependencies {
  readonly orderVerifier: OrderVerifier;
  /** Carries out transfers from a shard that this controller holds; false: they were not carried out. */
  readonly transferMachines: (from: number, transfers: readonly MachineTransfer[]) => Promise<boolean>;
  /** Releases machines to the cloud as the leader; false: they were not released. */
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
  /**
   * Applies a cancellation to a shard that this controller holds; false: this controller does not hold the
   * shard under the claim that the cancellation names.
   */
  readonly acknowledge: (cancellation: Cancellation) => boolean;
}

/** The claim name for an order that does not name the shard of its sender. */
const NO_CLAIM_NAME = '';

const refusal = (verdict: OrderVerdict): ServerResponse | null => {
  switch (verdict._tag) {
    case 'accepted':
      return null;
    case 'malformed':
      return { status: 400, body: writeMalformedOrder(verdict.field, verdict.reason) };
    case 'stale':
      return { status: 409, body: writeStaleOrder(verdict.current) };
  }
};

/** Answers requests of other controllers that are not heartbeats. */
export class PeerRequests {
  constructor(private readonly dependencies: PeerRequestsDependencies) {}

  /** Returns the answer to a request; null: the path is unknown. */
  async answer(path: string, body: unknown): Promise<ServerResponse | null> {
    switch (path) {
      case PEER_PATHS.transfer:
        return this.transfer(body);
      case PEER_PATHS.release:
        return this.release(body);
      case PEER_PATHS.acknowledge:
        return { status: 200, body: writeAcknowledgeReply(this.acknowledge(body)) };
      default:
        return null;
    }
  }

  private acknowledge(body: unknown): readonly boolean[] {
    return readAcknowledgeRequest(body).map((cancellation) => this.dependencies.acknowledge(cancellation));
  }

  /**
   * Verifies the token before the other fields are read, so that a replaced leader receives the refusal even
   * if its order is malformed.
   */
  private async transfer(body: unknown): Promise<ServerResponse> {
    const token = readOrderToken(body);
    const refused = refusal(
      this.dependencies.orderVerifier.verify('move', LEADER_CLAIM, 'order to the holder of a share', token),
    );
    if (refused) return refused;
    const { from, transfers } = readTransferOrder(body);
    return {
      status: 200,
      body: writeTransferAnswer(await this.dependencies.transferMachines(from, transfers)),
    };
  }

  private async release(body: unknown): Promise<ServerResponse> {
    const token = readOrderToken(body);
    const { machines, shardId } = readReleaseOrder(body);
    const claimName = shardId === undefined ? NO_CLAIM_NAME : String(shardId);
    const refused = refusal(
      this.dependencies.orderVerifier.verify('reclaim', claimName, 'order to return machines at once', token),
    );
    return refused ?? { status: 200, body: writeReleaseAnswer(await this.dependencies.releaseNow(machines)) };
  }
}

import type { Cancellation } from '../cancellation/acknowledgement.js';
import { readAcknowledgeRequest, writeAcknowledgeReply } from '../cancellation/codec.js';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import type { OrderVerifier, OrderVerdict } from '../duties/order-verifier.js';
import type { MachineTransfer } from '../fleet/records.js';
import type { ServerResponse } from '../http.js';
import {
  readMoveOrder,
  readOrderToken,
  readReturnOrder,
  writeMalformedOrder,
  writeMoveAnswer,
  writeReturnAnswer,
  writeStaleOrder,
} from './order-codec.js';

/** What is asked of this controller by others. */
export interface PeerRequestsInput {
  readonly gate: OrderVerifier;
  readonly move: (from: number, moves: readonly MachineTransfer[]) => Promise<boolean>;
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
  readonly acknowledge: (cancellation: Cancellation) => boolean;
}

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

/** Answers what other controllers ask beside heartbeats. */
export class PeerRequests {
  constructor(private readonly input: PeerRequestsInput) {}

  /** Null: there is nothing under this path. */
  async answer(path: string, body: unknown): Promise<ServerResponse | null> {
    switch (path) {
      case '/move':
        return this.move(body);
      case '/return':
        return this.releaseNow(body);
      case '/heed':
        return { status: 200, body: writeAcknowledgeReply(this.acknowledge(body)) };
      default:
        return null;
    }
  }

  private acknowledge(body: unknown): readonly boolean[] {
    return readAcknowledgeRequest(body).map((cancellation) => this.input.acknowledge(cancellation));
  }

  /**
   * The token is checked before the rest is read: a replaced leader hears that it is one, whatever it sent.
   */
  private async move(body: unknown): Promise<ServerResponse> {
    const token = readOrderToken(body);
    const refused = refusal(
      this.input.gate.verify('move', LEADER_CLAIM, 'order to the holder of a share', token),
    );
    if (refused) return refused;
    const { from, moves } = readMoveOrder(body);
    return { status: 200, body: writeMoveAnswer(await this.input.move(from, moves)) };
  }

  private async releaseNow(body: unknown): Promise<ServerResponse> {
    const token = readOrderToken(body);
    const { machines, shardId } = readReturnOrder(body);
    const claim = shardId === undefined ? '' : String(shardId);
    const refused = refusal(
      this.input.gate.verify('reclaim', claim, 'order to return machines at once', token),
    );
    return refused ?? { status: 200, body: writeReturnAnswer(await this.input.releaseNow(machines)) };
  }
}

import type { Cancellation } from '../cancellation/acknowledgement.js';
import { readAcknowledgeRequest, writeAcknowledgeReply } from '../cancellation/codec.js';
import { LEADER } from '../claims/decide.js';
import type { OrderGate, OrderVerdict } from '../duties/order-gate.js';
import type { Move } from '../fleet/records.js';
import type { Reply } from '../http.js';

/** The leader's order to the holder of a share: machines that are to go to other shares. */
export interface MoveOrder {
  readonly from: number;
  readonly moves: readonly Move[];
  /** The leader's fencing token; earlier versions don't send it. */
  readonly token?: number;
}

/** A holder's order to the leader: machines that are to go back to the cloud at once. */
export interface ReturnOrder {
  readonly machines: readonly string[];
  /** The share whose holder asks, and its fencing token; earlier versions don't send them. */
  readonly share?: number;
  readonly token?: number;
}

/** What is asked of this controller by others. */
export interface PeerRequestsInput {
  readonly gate: OrderGate;
  readonly move: (from: number, moves: readonly Move[]) => Promise<boolean>;
  readonly returnNow: (machines: readonly string[]) => Promise<boolean>;
  readonly acknowledge: (cancellation: Cancellation) => boolean;
}

const refusal = (verdict: OrderVerdict): Reply | null => {
  switch (verdict._tag) {
    case 'accepted':
      return null;
    case 'malformed':
      return { status: 400, body: { error: verdict.reason, field: verdict.field } };
    case 'stale':
      return { status: 409, body: { error: 'a later holder is known', token: verdict.current } };
  }
};

/** Answers what other controllers ask beside heartbeats. */
export class PeerRequests {
  constructor(private readonly input: PeerRequestsInput) {}

  /** Null: there is nothing under this path. */
  async answer(path: string, body: unknown): Promise<Reply | null> {
    switch (path) {
      case '/move':
        return this.move(body as MoveOrder);
      case '/return':
        return this.returnNow(body as ReturnOrder);
      case '/heed':
        return {
          status: 200,
          body: writeAcknowledgeReply(
            readAcknowledgeRequest(body).map((entry) => this.input.acknowledge(entry)),
          ),
        };
      default:
        return null;
    }
  }

  private async move({ from, moves, token }: MoveOrder): Promise<Reply> {
    const refused = refusal(this.input.gate.check('move', LEADER, 'order to the holder of a share', token));
    return refused ?? { status: 200, body: { moved: await this.input.move(from, moves) } };
  }

  private async returnNow({ machines, share, token }: ReturnOrder): Promise<Reply> {
    const claim = share === undefined ? '' : String(share);
    const refused = refusal(
      this.input.gate.check('reclaim', claim, 'order to return machines at once', token),
    );
    return refused ?? { status: 200, body: { returned: await this.input.returnNow(machines) } };
  }
}

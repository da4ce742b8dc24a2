import type { MachineTransfer } from '../fleet/records.js';
import type { TransferOrder, ReleaseOrder } from './orders.js';

/**
 * Orders between controllers and their answers, as they travel; the names of the fields and their order are
 * fixed.
 */

/** One machine's move on the wire. */
export interface WireMove {
  readonly machine: string;
  readonly to: number;
}

/** The body of an order to move machines. */
export interface WireMoveOrder {
  readonly moves: readonly WireMove[];
  readonly from: number;
  /** The leader's fencing token; earlier versions don't send it. */
  readonly token?: number;
}

/** The body of an order to return machines. */
export interface WireReturnOrder {
  readonly machines: readonly string[];
  /** Earlier versions send neither the share nor its holder's fencing token. */
  readonly share?: number;
  readonly token?: number;
}

/** The answer to an order to move machines. */
export interface WireMoveAnswer {
  readonly moved: boolean;
}

/** The answer to an order to return machines. */
export interface WireReturnAnswer {
  readonly returned: boolean;
}

/** The answer to an order whose token is malformed. */
export interface WireMalformedOrder {
  readonly error: string;
  readonly field: string;
}

/** The answer to an order of a replaced holder. */
export interface WireStaleOrder {
  readonly error: string;
  /** The present holder's. */
  readonly token: number;
}

/** Writes a move. */
export const writeMove = (move: MachineTransfer): WireMove => ({ machine: move.machine, to: move.to });

/** Reads a move. */
export const readMove = (wire: WireMove): MachineTransfer => ({ machine: wire.machine, to: wire.to });

/** Writes an order to move machines, under the leader's fencing token. */
export const writeMoveOrder = (order: TransferOrder, token: number): WireMoveOrder => ({
  moves: order.moves.map(writeMove),
  from: order.from,
  token,
});

/** Reads an order to move machines; throws if it is malformed. */
export const readMoveOrder = (body: unknown): TransferOrder => {
  const wire = body as WireMoveOrder;
  return { from: wire.from, moves: wire.moves.map(readMove) };
};

/** Writes an order to return machines, under the fencing token of the holder that asks. */
export const writeReturnOrder = (order: ReleaseOrder, token: number): WireReturnOrder => ({
  machines: order.machines,
  ...(order.shardId === undefined ? {} : { share: order.shardId }),
  token,
});

/** Reads an order to return machines; throws if there is none. */
export const readReturnOrder = (body: unknown): ReleaseOrder => {
  const wire = body as WireReturnOrder;
  return {
    machines: wire.machines,
    ...(wire.share === undefined ? {} : { shardId: wire.share }),
  };
};

/**
 * The fencing token of any order, as it came: unchecked, and undefined from earlier versions. Throws if there
 * is none.
 */
export const readOrderToken = (body: unknown): unknown => (body as { readonly token?: unknown }).token;

/** Writes the answer to an order to move machines. */
export const writeMoveAnswer = (moved: boolean): WireMoveAnswer => ({ moved });

/** Writes the answer to an order to return machines. */
export const writeReturnAnswer = (returned: boolean): WireReturnAnswer => ({ returned });

/** Reads the answer to an order to return machines; true: they are gone. */
export const readReturnAnswer = (body: unknown): boolean =>
  (body as Partial<WireReturnAnswer> | null | undefined)?.returned === true;

/** Writes the answer to an order whose token is malformed. */
export const writeMalformedOrder = (field: string, reason: string): WireMalformedOrder => ({
  error: reason,
  field,
});

/** Writes the answer to an order of a replaced holder, with the present holder's token. */
export const writeStaleOrder = (current: number): WireStaleOrder => ({
  error: 'a later holder is known',
  token: current,
});

/**
 * Converts orders between controllers and the answers to them from and to their wire form; the names of the
 * fields and their order are fixed. No state.
 */
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { TransferOrder, ReleaseOrder } from './orders.js';

/** The transfer of one machine to the shard `to`, on the wire. */
export interface WireTransfer {
  readonly machine: string;
  readonly to: number;
}

/** The body of an order to transfer machines. */
export interface WireTransferOrder {
  readonly moves: readonly WireTransfer[];
  readonly from: number;
  /** The leader's fencing token; earlier versions omit the field. */
  readonly token?: number;
}

/** The body of an order to release machines. */
export interface WireReleaseOrder {
  readonly machines: readonly string[];
  /** The shard whose holder sends the order; earlier versions omit this field and the fencing token. */
  readonly share?: number;
  /** The fencing token of that holder. */
  readonly token?: number;
}

/** The answer to an order to transfer machines. */
export interface WireTransferAnswer {
  readonly moved: boolean;
}

/** The answer to an order to release machines. */
export interface WireReleaseAnswer {
  readonly returned: boolean;
}

/** The answer to an order whose token is malformed. */
export interface WireMalformedOrder {
  readonly error: string;
  readonly field: string;
}

/** The answer to an order from a holder that has been replaced. */
export interface WireStaleOrder {
  readonly error: string;
  /** The current holder's fencing token. */
  readonly token: number;
}

/** Writes a transfer. */
export const writeTransfer = (transfer: MachineTransfer): WireTransfer => ({
  machine: transfer.machine,
  to: transfer.to,
});

/** Reads a transfer. */
export const readTransfer = (wire: WireTransfer): MachineTransfer => ({ machine: wire.machine, to: wire.to });

/** Writes an order to transfer machines, under the leader's fencing token. */
export const writeTransferOrder = (order: TransferOrder, token: number): WireTransferOrder => ({
  moves: order.transfers.map(writeTransfer),
  from: order.from,
  token,
});

/** Reads an order to transfer machines; throws if it is malformed. */
export const readTransferOrder = (body: unknown): TransferOrder => {
  const wire = body as WireTransferOrder;
  return { from: wire.from, transfers: wire.moves.map(readTransfer) };
};

/** Writes an order to release machines, under the fencing token of the holder that sends the order. */
export const writeReleaseOrder = (order: ReleaseOrder, token: number): WireReleaseOrder => ({
  machines: order.machines,
  ...(order.shardId === undefined ? {} : { share: order.shardId }),
  token,
});

/** Reads an order to release machines; throws if the body is null or undefined. */
export const readReleaseOrder = (body: unknown): ReleaseOrder => {
  const wire = body as WireReleaseOrder;
  return {
    machines: wire.machines,
    ...(wire.share === undefined ? {} : { shardId: wire.share }),
  };
};

/**
 * Returns the fencing token of any order as received: unchecked, and undefined in an order of an earlier
 * version. Throws if the body is null or undefined.
 */
export const readOrderToken = (body: unknown): unknown => (body as { readonly token?: unknown }).token;

/** Writes the answer to an order to transfer machines. */
export const writeTransferAnswer = (moved: boolean): WireTransferAnswer => ({ moved });

/** Writes the answer to an order to release machines. */
export const writeReleaseAnswer = (returned: boolean): WireReleaseAnswer => ({ returned });

/** Reads the answer to an order to release machines; true: the machines are released. */
export const readReleaseAnswer = (body: unknown): boolean =>
  (body as Partial<WireReleaseAnswer> | null | undefined)?.returned === true;

/** Writes the answer to an order whose token is malformed. */
export const writeMalformedOrder = (field: string, reason: string): WireMalformedOrder => ({
  error: reason,
  field,
});

/** Writes the answer to an order from a replaced holder, with the current holder's token. */
export const writeStaleOrder = (current: number): WireStaleOrder => ({
  error: 'a later holder is known',
  token: current,
});

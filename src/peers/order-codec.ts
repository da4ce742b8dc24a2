/**
 * Reads and writes orders between controllers and their answers, as they travel; the names of the fields and
 * their order are fixed. No state.
 */
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { TransferOrder, ReleaseOrder } from './orders.js';

/** A transfer of one machine on the wire. */
export interface WireTransfer {
  readonly machine: string;
  readonly to: number;
}

/** The body of an order to transfer machines. */
export interface WireTransferOrder {
  readonly moves: readonly WireTransfer[];
  readonly from: number;
  /** The leader's fencing token; earlier versions don't send it. */
  readonly token?: number;
}

/** The body of an order to release machines. */
export interface WireReleaseOrder {
  readonly machines: readonly string[];
  /** Earlier versions send neither the shard nor its holder's fencing token. */
  readonly share?: number;
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

/** The answer to an order of a replaced holder. */
export interface WireStaleOrder {
  readonly error: string;
  /** The present holder's. */
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

/** Writes an order to release machines, under the fencing token of the holder that asks. */
export const writeReleaseOrder = (order: ReleaseOrder, token: number): WireReleaseOrder => ({
  machines: order.machines,
  ...(order.shardId === undefined ? {} : { share: order.shardId }),
  token,
});

/** Reads an order to release machines; throws if there is none. */
export const readReleaseOrder = (body: unknown): ReleaseOrder => {
  const wire = body as WireReleaseOrder;
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

/** Writes the answer to an order to transfer machines. */
export const writeTransferAnswer = (moved: boolean): WireTransferAnswer => ({ moved });

/** Writes the answer to an order to release machines. */
export const writeReleaseAnswer = (returned: boolean): WireReleaseAnswer => ({ returned });

/** Reads the answer to an order to release machines; true: they are gone. */
export const readReleaseAnswer = (body: unknown): boolean =>
  (body as Partial<WireReleaseAnswer> | null | undefined)?.returned === true;

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

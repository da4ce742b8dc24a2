/**
 * MessagePack bodies: packing, unpacking, and writing them to a socket. No state but the packer's buffers.
 */
import { Packr } from 'msgpackr';
import { MAX_SINGLE_WRITE_BYTES } from '../constants/http.js';

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Packs a value for the wire. */
export const encode = (value: unknown): Buffer => packr.pack(value);

/** Unpacks a body; throws if it is malformed. */
export const decode = (body: Buffer): unknown => packr.unpack(body);

/** Unpacks a body that came in parts; throws if it is malformed. */
export const decodeParts = (parts: readonly Buffer[]): unknown => {
  const [only] = parts;
  return decode(parts.length === 1 && only ? only : Buffer.concat(parts));
};

/**
 * The arguments with which Node sends a body together with the head in one write: as text of one byte a
 * character. Given as bytes, head and body are corked and gathered, which costs more than the copy of a small
 * body.
 */
export const singleWriteArguments = (payload: Buffer): [string | Buffer, BufferEncoding] =>
  payload.length <= MAX_SINGLE_WRITE_BYTES ? [payload.toString('latin1'), 'latin1'] : [payload, 'latin1'];

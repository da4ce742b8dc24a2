/**
 * MessagePack bodies: encoding, decoding, and writing them to a socket. No state but the encoder's buffers.
 */
import { Packr } from 'msgpackr';
import { MAX_SINGLE_WRITE_BYTES } from '../constants/http.js';

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

/** Encodes a value for the wire. */
export const encode = (value: unknown): Buffer => packr.pack(value);

/** Decodes a body; throws if the body is malformed. */
export const decode = (body: Buffer): unknown => packr.unpack(body);

/** Decodes a body that was received in parts; throws if the body is malformed. */
export const decodeParts = (parts: readonly Buffer[]): unknown => {
  const [only] = parts;
  return decode(parts.length === 1 && only ? only : Buffer.concat(parts));
};

/**
 * Returns the arguments of `end` with which Node sends the head and a small body in one write: the body as
 * text with one byte per character. With a buffer, Node corks the socket and gathers head and body, which
 * costs more than copying a small body.
 */
export const singleWriteArguments = (payload: Buffer): [string | Buffer, BufferEncoding] =>
  payload.length <= MAX_SINGLE_WRITE_BYTES ? [payload.toString('latin1'), 'latin1'] : [payload, 'latin1'];

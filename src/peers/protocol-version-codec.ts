/** Reads and writes the agreed protocol version as it is stored. No state. */

interface StoredProtocolVersion {
  readonly v: number;
}

/** Writes the agreed protocol version as it is stored. */
export const writeProtocolVersion = (version: number): StoredProtocolVersion => ({ v: version });

/** Reads the stored protocol version. */
export const readProtocolVersion = (value: unknown): number => (value as StoredProtocolVersion).v;

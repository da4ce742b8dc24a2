/** Converts the agreed protocol version from and to its stored form. No state. */

interface StoredProtocolVersion {
  readonly v: number;
}

/** Converts the agreed protocol version to its stored form. */
export const writeProtocolVersion = (version: number): StoredProtocolVersion => ({ v: version });

/** Reads the stored protocol version. */
export const readProtocolVersion = (value: unknown): number => (value as StoredProtocolVersion).v;

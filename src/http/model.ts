/**
 * HTTP in the terms of this service: requests, responses, addresses, and the ports that carry them. Plain
 * data.
 */

/** The outcome of a request that this controller makes. */
export type CallOutcome =
  | { readonly _tag: 'response'; readonly status: number; readonly body: unknown }
  /**
   * Nothing is known about what became of the request, unless `sent` is false: then no byte of it left the
   * process.
   */
  | { readonly _tag: 'noResponse'; readonly why: string; readonly sent?: false };

/** The outcome of a request that lost the right to be sent while it waited for a connection. */
export const WITHHELD: CallOutcome = { _tag: 'noResponse', why: 'withheld', sent: false };

/** Host and port of a server. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** Reads `host:port`. */
export const parseTarget = (text: string): Target => {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
};

/** Carries requests to one address. */
export interface HttpClient {
  /**
   * Sends one request and resolves with its outcome; it never rejects for what happens on the wire.
   *
   * @param body - Packed as MessagePack; undefined: the request has no body.
   * @param maySend - Asked when a connection is there, immediately before the first byte leaves; false: the
   *   request is withheld.
   */
  request(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    maySend?: () => boolean,
  ): Promise<CallOutcome>;
}

/** Makes a client for one address with a bounded number of sockets. */
export type HttpClientFactory = (target: Target, sockets: number) => HttpClient;

/** The body of a request to this controller. */
export type RequestBody =
  | { readonly _tag: 'value'; readonly value: unknown }
  | { readonly _tag: 'empty' }
  | { readonly _tag: 'malformed' }
  | { readonly _tag: 'tooLarge' };

/** A request to this controller. */
export interface ServerRequest {
  readonly method: string;
  readonly path: string;
  /** What follows the question mark, as it came. */
  readonly query: string;
  readonly body: RequestBody;
  /** The caller's IP address, where it came through a socket. */
  readonly remoteAddress?: string | undefined;
}

/** A response of this controller, before it is packed. */
export interface ServerResponse {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  /** Sent as it is in place of the body. */
  readonly text?: string;
}

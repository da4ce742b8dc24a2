/**
 * Types of HTTP requests, responses and addresses, and the interface of HTTP clients. Plain data and a parser
 * of addresses.
 */

/** The outcome of a request that this controller makes. */
export type CallOutcome =
  | { readonly _tag: 'response'; readonly status: number; readonly body: unknown }
  /**
   * No response was received: it is unknown whether the server handled the request, unless `sent` is false,
   * which means that no byte of the request left the process.
   */
  | { readonly _tag: 'noResponse'; readonly why: string; readonly sent?: false };

/** The outcome of a request that was not sent because `maySend` returned false. */
export const WITHHELD: CallOutcome = { _tag: 'noResponse', why: 'withheld', sent: false };

/** Host and port of a server. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`. */
export const parseTarget = (text: string): Target => {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
};

/** Sends requests to one address. */
export interface HttpClient {
  /**
   * Sends one request and resolves with its outcome. Network errors are outcomes; they never reject.
   *
   * @param body - Encoded as MessagePack; undefined: the request has no body.
   * @param maySend - Called once a connection is available, immediately before the first byte is sent; false:
   *   the request is not sent, and its outcome is `WITHHELD`.
   */
  request(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    maySend?: () => boolean,
  ): Promise<CallOutcome>;
}

/** Creates a client for one address with at most `sockets` sockets. */
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
  /** The part of the URL after the question mark, undecoded. */
  readonly query: string;
  readonly body: RequestBody;
  /** The caller's IP address, if the request was received through a socket. */
  readonly remoteAddress?: string | undefined;
}

/** A response of this controller, before it is encoded. */
export interface ServerResponse {
  readonly status: number;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  /** Plain text that is sent in place of the encoded body. */
  readonly text?: string;
}

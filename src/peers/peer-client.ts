/**
 * Requests to other controllers: MessagePack over HTTP, to their peer addresses. Owns the connections to each
 * peer; the heartbeat exchange and whoever gives orders or asks for acknowledgements call it.
 */
import { MAX_SOCKETS_PER_PEER, PEER_REQUEST_TIMEOUT_MS } from '../constants/peers.js';
import { parseTarget, type HttpClient, type HttpClientFactory } from '../http/model.js';

/** Where a peer takes requests of other controllers. */
export interface PeerAddress {
  /** The peer's name. */
  readonly node: string;
  /** host:port */
  readonly endpoint: string;
}

/** Connections to the other controllers. */
export class PeerClient {
  private readonly clients: ReadonlyMap<string, HttpClient>;

  constructor(addresses: readonly PeerAddress[], createHttpClient: HttpClientFactory) {
    this.clients = new Map(
      addresses.map(({ node, endpoint }) => [
        node,
        createHttpClient(parseTarget(endpoint), MAX_SOCKETS_PER_PEER),
      ]),
    );
  }

  /**
   * Asks a peer and returns the body of its answer; null: it answered with another status than 200 or not at
   * all, or the settings don't name it. To callers these are one: nothing was granted.
   */
  async request(
    node: string,
    path: string,
    body: unknown,
    timeoutMs = PEER_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const outcome = await this.clients.get(node)?.request('POST', path, body, timeoutMs);
    return outcome?._tag === 'response' && outcome.status === 200 ? outcome.body : null;
  }
}

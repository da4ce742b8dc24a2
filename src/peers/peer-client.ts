/**
 * Sends requests to other controllers: MessagePack over HTTP, to their peer addresses. Owns the connections
 * to each peer. The heartbeat exchange and the subsystems that send orders or request acknowledgements call
 * it.
 */
import { MAX_SOCKETS_PER_PEER, PEER_REQUEST_TIMEOUT_MS } from '../constants/peers.js';
import { parseTarget, type HttpClient, type HttpClientFactory } from '../http/model.js';

/** The address at which a peer serves requests of other controllers. */
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
   * Sends a request to a peer and returns the body of its answer; null: the peer answered with a status other
   * than 200 or did not answer, or the settings don't name it. Callers treat these cases alike: the request
   * was not granted.
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

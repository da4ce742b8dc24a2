/**
 * Reads names and addresses of this controller and of its peers from the settings, whose names are fixed. No
 * state.
 */
import type { PeerAddress } from '../peers/peer-client.js';
import type { Settings } from '../settings/schema.js';

/** Where a controller listens; each is host:port. */
export interface ListenAddresses {
  /** For users, operators, workers and health checks. */
  readonly api: string;
  /** For the other controllers. */
  readonly peers: string;
}

/** The addresses on which this controller listens. */
export const readListenAddresses = (settings: Settings): ListenAddresses => ({
  api: settings.api_addr,
  peers: settings.mesh_addr,
});

/** The names of all controllers in order. */
export const readControllerNames = (settings: Settings): readonly string[] =>
  [settings.host_name, ...settings.siblings.map((sibling) => sibling.host_name)].sort();

/** The addresses of the other controllers. */
export const readPeerAddresses = (settings: Settings): readonly PeerAddress[] =>
  settings.siblings.map(({ host_name: node, endpoint }) => ({ node, endpoint }));

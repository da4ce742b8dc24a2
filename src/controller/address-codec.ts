/**
 * Reads the names and addresses of this controller and of its peers from the settings, whose field names are
 * fixed. No state.
 */
import type { PeerAddress } from '../peers/peer-client.js';
import type { Settings } from '../settings/schema.js';

/** The addresses on which a controller listens, each in the form host:port. */
export interface ListenAddresses {
  /** The address for users, operators, workers and health checks. */
  readonly api: string;
  /** The address for the other controllers. */
  readonly peers: string;
}

/** Reads the addresses on which this controller listens. */
export const readListenAddresses = (settings: Settings): ListenAddresses => ({
  api: settings.api_addr,
  peers: settings.mesh_addr,
});

/** Reads the names of all controllers, this one included, in alphabetical order. */
export const readControllerNames = (settings: Settings): readonly string[] =>
  [settings.host_name, ...settings.siblings.map((sibling) => sibling.host_name)].sort();

/** Reads the names and addresses of the other controllers. */
export const readPeerAddresses = (settings: Settings): readonly PeerAddress[] =>
  settings.siblings.map(({ host_name: node, endpoint }) => ({ node, endpoint }));

/**
 * The network file: from which addresses the administration API may be used. Owns no state; read once at
 * start.
 */
import ipaddr from 'ipaddr.js';
import { parse } from 'smol-toml';

/** A network in CIDR form, read. */
type Network = [ipaddr.IPv4 | ipaddr.IPv6, number];

/** Which callers may use the administration API. */
export interface AdminAccess {
  readonly allows: (remoteAddress: string | undefined) => boolean;
}

/** No network is named: whoever reaches the address may read. */
export const ALLOW_ANY_ADDRESS: AdminAccess = { allows: () => true };

/** The outcome of reading a network file. */
export type CheckedNetworks =
  { readonly _tag: 'ok'; readonly admin: AdminAccess } | { readonly _tag: 'bad'; readonly message: string };

/** A caller's address; one that is IPv4 mapped into IPv6 counts as IPv4. */
const readAddress = (text: string): ipaddr.IPv4 | ipaddr.IPv6 | null =>
  ipaddr.isValid(text) ? ipaddr.process(text) : null;

const contains = ([network, prefix]: Network, address: ipaddr.IPv4 | ipaddr.IPv6): boolean =>
  network.kind() === address.kind() && address.match(network, prefix);

const createAdminAccess = (networks: readonly Network[]): AdminAccess => ({
  allows: (remoteAddress) => {
    const address = remoteAddress === undefined ? null : readAddress(remoteAddress);
    return address !== null && networks.some((network) => contains(network, address));
  },
});

const rejectValue = (text: string, value: unknown, reason: string): CheckedNetworks => {
  const shown = JSON.stringify(value);
  const line = text.split('\n').findIndex((candidate) => candidate.includes(shown)) + 1;
  const where = line > 0 ? `line ${line}: ` : '';
  return { _tag: 'bad', message: `networks: ${where}${shown} ${reason}` };
};

const readNetwork = (value: unknown): Network | null => {
  if (typeof value !== 'string' || !ipaddr.isValidCIDR(value)) return null;
  return ipaddr.parseCIDR(value);
};

/** Host bits that are set make it unclear what was meant. */
const hasHostBits = (value: string, [address, prefix]: Network): boolean => {
  const base =
    address.kind() === 'ipv4'
      ? ipaddr.IPv4.networkAddressFromCIDR(value)
      : ipaddr.IPv6.networkAddressFromCIDR(value);
  return prefix > 0 && base.toNormalizedString() !== address.toNormalizedString();
};

/**
 * Reads a network file: `admin` lists the networks, IPv4 and IPv6, from which the administration API may be
 * used.
 */
export const checkNetworks = (text: string): CheckedNetworks => {
  let raw: Record<string, unknown>;
  try {
    raw = parse(text);
  } catch (error) {
    return { _tag: 'bad', message: `networks: not TOML: ${(error as Error).message.split('\n')[0] ?? ''}` };
  }
  for (const name of Object.keys(raw))
    if (name !== 'admin')
      return { _tag: 'bad', message: `networks: unknown name "${name}"; there is: admin` };
  const { admin } = raw;
  if (admin === undefined) return { _tag: 'ok', admin: ALLOW_ANY_ADDRESS };
  if (!Array.isArray(admin)) return { _tag: 'bad', message: 'networks: "admin" must be a list of networks' };
  const networks: Network[] = [];
  for (const value of admin as unknown[]) {
    const network = readNetwork(value);
    if (network === null) return rejectValue(text, value, 'is not a network in CIDR form');
    if (hasHostBits(String(value), network)) return rejectValue(text, value, 'has host bits set');
    networks.push(network);
  }
  return { _tag: 'ok', admin: createAdminAccess(networks) };
};

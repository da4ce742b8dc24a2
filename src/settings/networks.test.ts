/** Tests of the network file: which callers it lets in, and what is refused. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { checkNetworks } from './networks.js';

const NETWORK_FILE = 'admin = ["10.20.0.0/16", "127.0.0.1/32",\n  "fd00:20::/32"]\n';

const accessCases: readonly {
  name: string;
  file: string;
  from: string | undefined;
  allowed: boolean;
}[] = [
  { name: 'nothing is named', file: '', from: '192.0.2.1', allowed: true },
  { name: 'within a network', file: NETWORK_FILE, from: '10.20.255.1', allowed: true },
  { name: 'just outside', file: NETWORK_FILE, from: '10.21.0.1', allowed: false },
  { name: 'one address', file: NETWORK_FILE, from: '127.0.0.1', allowed: true },
  { name: 'IPv4 mapped into IPv6', file: NETWORK_FILE, from: '::ffff:10.20.3.4', allowed: true },
  { name: 'IPv6', file: NETWORK_FILE, from: 'fd00:20:1::9', allowed: true },
  { name: 'IPv6 outside', file: NETWORK_FILE, from: 'fd00:21::1', allowed: false },
  { name: 'no address is known', file: NETWORK_FILE, from: undefined, allowed: false },
  { name: 'not an address', file: NETWORK_FILE, from: 'x', allowed: false },
  { name: 'an empty list shuts everybody out', file: 'admin = []', from: '127.0.0.1', allowed: false },
  { name: 'all of IPv4', file: 'admin = ["0.0.0.0/0"]', from: '192.0.2.1', allowed: true },
];
for (const row of accessCases) {
  test(`networks: ${row.name}`, () => {
    const checked = checkNetworks(row.file);
    assert.equal(checked._tag === 'ok' && checked.admin.allows(row.from), row.allowed);
  });
}

const fileCases: readonly { name: string; file: string; says: RegExp }[] = [
  {
    name: 'no prefix',
    file: '# first\nadmin = ["10.0.0.1"]',
    says: /^networks: line 2: "10\.0\.0\.1" is not a network in CIDR form$/,
  },
  {
    name: 'a prefix that is too long',
    file: 'admin = ["10.0.0.0/33"]',
    says: /"10\.0\.0\.0\/33" is not a network/,
  },
  { name: 'host bits', file: 'admin = ["10.0.0.7/8"]', says: /line 1: "10\.0\.0\.7\/8" has host bits set/ },
  { name: 'host bits in IPv6', file: 'admin = ["fd00::1/16"]', says: /"fd00::1\/16" has host bits set/ },
  { name: 'a number', file: 'admin = [7]', says: /7 is not a network/ },
  { name: 'no list', file: 'admin = "10.0.0.0/8"', says: /"admin" must be a list/ },
  { name: 'an unknown name', file: 'operators = []', says: /unknown name "operators"; there is: admin/ },
  { name: 'not TOML', file: 'admin: x', says: /^networks: not TOML/ },
];
for (const row of fileCases) {
  test(`network file: ${row.name}`, () => {
    const checked = checkNetworks(row.file);
    assert.match(checked._tag === 'bad' ? checked.message : 'accepted', row.says);
  });
}

test('network file: the one that the installation comes with names nobody', () => {
  const checked = checkNetworks(readFileSync('deploy/networks.toml', 'utf8'));
  assert.equal(checked._tag === 'ok' && checked.admin.allows('192.0.2.1'), true);
});

/** Tests of the network file: which callers may use the administration API, and which files are rejected. */
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
  { name: 'an empty file allows every caller', file: '', from: '192.0.2.1', allowed: true },
  { name: 'an address within a network', file: NETWORK_FILE, from: '10.20.255.1', allowed: true },
  { name: 'an address just outside a network', file: NETWORK_FILE, from: '10.21.0.1', allowed: false },
  { name: 'a network of one address', file: NETWORK_FILE, from: '127.0.0.1', allowed: true },
  { name: 'an IPv4-mapped IPv6 address', file: NETWORK_FILE, from: '::ffff:10.20.3.4', allowed: true },
  { name: 'an IPv6 address within a network', file: NETWORK_FILE, from: 'fd00:20:1::9', allowed: true },
  { name: 'an IPv6 address outside the networks', file: NETWORK_FILE, from: 'fd00:21::1', allowed: false },
  { name: 'a caller whose address is not known', file: NETWORK_FILE, from: undefined, allowed: false },
  { name: 'a text that is not an address', file: NETWORK_FILE, from: 'x', allowed: false },
  { name: 'an empty list denies every caller', file: 'admin = []', from: '127.0.0.1', allowed: false },
  {
    name: 'a network of all IPv4 addresses',
    file: 'admin = ["0.0.0.0/0"]',
    from: '192.0.2.1',
    allowed: true,
  },
];
for (const row of accessCases) {
  test(`networks: ${row.name}`, () => {
    const checked = checkNetworks(row.file);
    assert.equal(checked._tag === 'ok' && checked.admin.allows(row.from), row.allowed);
  });
}

const fileCases: readonly { name: string; file: string; expectedMessage: RegExp }[] = [
  {
    name: 'a network without a prefix length',
    file: '# first\nadmin = ["10.0.0.1"]',
    expectedMessage: /^networks: line 2: "10\.0\.0\.1" is not a network in CIDR form$/,
  },
  {
    name: 'a prefix length that is too large',
    file: 'admin = ["10.0.0.0/33"]',
    expectedMessage: /"10\.0\.0\.0\/33" is not a network/,
  },
  {
    name: 'host bits that are set',
    file: 'admin = ["10.0.0.7/8"]',
    expectedMessage: /line 1: "10\.0\.0\.7\/8" has host bits set/,
  },
  {
    name: 'host bits that are set in an IPv6 network',
    file: 'admin = ["fd00::1/16"]',
    expectedMessage: /"fd00::1\/16" has host bits set/,
  },
  { name: 'a number in place of a network', file: 'admin = [7]', expectedMessage: /7 is not a network/ },
  {
    name: 'a text in place of the list',
    file: 'admin = "10.0.0.0/8"',
    expectedMessage: /"admin" must be a list/,
  },
  {
    name: 'an unknown name',
    file: 'operators = []',
    expectedMessage: /unknown name "operators"; there is: admin/,
  },
  { name: 'not TOML', file: 'admin: x', expectedMessage: /^networks: not TOML/ },
];
for (const row of fileCases) {
  test(`network file: ${row.name}`, () => {
    const checked = checkNetworks(row.file);
    assert.match(checked._tag === 'bad' ? checked.message : 'accepted', row.expectedMessage);
  });
}

test('network file: the file of the installation allows every caller', () => {
  const checked = checkNetworks(readFileSync('deploy/networks.toml', 'utf8'));
  assert.equal(checked._tag === 'ok' && checked.admin.allows('192.0.2.1'), true);
});

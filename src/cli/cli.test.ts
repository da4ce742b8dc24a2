/** Tests of the command line's output and exit codes; they run the bundled program. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import type { WireDutiesOverview } from '../duties/admin-codec.js';

interface ProgramResult {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}
const runProgram = (args: readonly string[]): Promise<ProgramResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, ['target/app/main.js', ...args], { stdio: 'pipe' });
    let out = '';
    let err = '';
    child.stdout.on('data', (part: Buffer) => (out += part.toString()));
    child.stderr.on('data', (part: Buffer) => (err += part.toString()));
    child.on('exit', (code) => resolve({ code, out, err }));
  });

const answer: WireDutiesOverview = {
  node: 'n0',
  duties: [
    {
      duty: 'rent',
      claim: 'L',
      state: 'held',
      open: 1,
      holder: { claim: 'L', token: 40, node: 'n0', process: 'p', from: 0, to: null, ended: null },
      history: [{ claim: 'L', token: 7, node: 'n2', process: 'p', from: 0, to: 9, ended: 'lease ended' }],
      effects: [],
      refused: [],
    },
  ],
  openRentals: [{ name: 'r-40-1', machineType: 'g8', zone: 'a', spot: true, shares: [0, 1], at: 0 }],
  settledRentals: [],
  malformedIntents: [],
  releaseIntents: [{ machine: 'i-000009', share: 1, reason: 'idle', token: 12 }],
  refusedSinceStart: 0,
};

let server: Server;
let directory: string;
let node: string;
before(async () => {
  directory = mkdtempSync(join(tmpdir(), 'dalegate-cli-'));
  writeFileSync(join(directory, 'bad.toml'), 'fences = true\n');
  writeFileSync(join(directory, 'empty.json'), '{}');
  server = createServer((request, response) => {
    const known = request.url === '/admin/v1/duties';
    response.writeHead(known ? 200 : 404);
    response.end(JSON.stringify(known ? answer : { error: 'no duty is called "x"' }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  node = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});
after(() => {
  server.close();
  rmSync(directory, { recursive: true });
});

const rows: readonly {
  name: string;
  args: () => readonly string[];
  code: number;
  out?: RegExp;
  err?: RegExp;
}[] = [
  { name: 'help', args: () => ['--help'], code: 0, out: /examples: dalegate/ },
  { name: 'no arguments', args: () => [], code: 2, err: /^usage: dalegate --config FILE/ },
  { name: 'an unknown option', args: () => ['--colour'], code: 2, err: /--colour[\s\S]*usage:/ },
  { name: 'an unknown command', args: () => ['dutys'], code: 2, err: /^usage:/ },
  {
    name: 'a settings file that does not exist',
    args: () => ['--config', join(directory, 'none.json')],
    code: 2,
    err: /^settings: ENOENT/,
  },
  {
    name: 'a settings file without a required field, which the message names',
    args: () => ['--config', join(directory, 'empty.json')],
    code: 2,
    err: /^settings: .*host_name/,
  },
  { name: 'duties without a node', args: () => ['duties'], code: 2, err: /--node HOST:PORT is missing/ },
  {
    name: 'duties as a table',
    args: () => ['duties', '--node', node],
    code: 0,
    out: /rent +L +n0 +40[\s\S]*n2 +7[\s\S]*r-40-1: 2 g8 in a[\s\S]*i-000009 of share 1: idle, under token 12/,
  },
  {
    name: 'duties as JSON',
    args: () => ['duties', '--node', node, '--json'],
    code: 0,
    out: /^\{"node":"n0"/,
  },
  { name: 'an unknown duty', args: () => ['duties', 'x', '--node', node], code: 1, err: /404: .*x\\?"/ },
  {
    name: 'a node that does not answer',
    args: () => ['duties', '--node', '127.0.0.1:9'],
    code: 1,
    err: /127\.0\.0\.1:9 does not answer.*try another node/,
  },
  {
    name: 'a node with a port that does not exist',
    args: () => ['duties', '--node', '127.0.0.1:99999'],
    code: 1,
    err: /127\.0\.0\.1:99999 does not answer.*65536.*try another node/,
  },
];
for (const row of rows) {
  test(`command line: ${row.name}`, async () => {
    const { code, out, err } = await runProgram(row.args());
    assert.equal(code, row.code, err);
    if (row.out) assert.match(out, row.out);
    if (row.err) assert.match(err, row.err);
  });
}

test('command line: an invalid network prevents the start; the message has line, value and reason', async () => {
  const settings = join(directory, 'settings.json');
  const networks = join(directory, 'networks.toml');
  writeFileSync(settings, JSON.stringify(SETTINGS));
  writeFileSync(networks, 'admin = [\n  "10.0.0.0/40",\n]\n');
  const { code, err } = await runProgram(['--config', settings, '--networks', networks]);
  assert.equal(code, 2);
  assert.equal(err, 'networks: line 2: "10.0.0.0/40" is not a network in CIDR form\n');
});

test('command line: an unknown feature prevents the start; the message has its name and the known ones', async () => {
  const settings = join(directory, 'settings.json');
  writeFileSync(settings, JSON.stringify(SETTINGS));
  const { code, err } = await runProgram(['--config', settings, '--features', join(directory, 'bad.toml')]);
  assert.equal(code, 2);
  assert.equal(err, 'features: no feature is called "fences"; there is: fencing\n');
});

const SETTINGS = {
  host_name: 'n0',
  area: 'x',
  api_addr: '127.0.0.1:1',
  mesh_addr: '127.0.0.1:1',
  siblings: [],
  services: { cloud: '127.0.0.1:1', state: '127.0.0.1:1' },
  facts: {
    count: 1,
    zones: ['x'],
    teams: [],
    workers: { report_s: 1, lease_s: 6, gang_wait_s: 20, gang_peer_s: 4, cancel_s: 30 },
    state: { rps: 1, write_rps: 1, value_kb: 16, txn_ops: 32 },
    cloud: { rps: 1, list_lag_s: 2 },
    quota: { core_share: 1, ram_mb: 300, fd_limit: 1_000 },
    clock_error_ms: 25,
  },
};

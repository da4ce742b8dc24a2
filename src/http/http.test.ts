/** Tests of the HTTP client and server over loopback: connection limits, bodies, and withheld requests. */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import { test } from 'node:test';
import { PooledHttpClient } from './client.js';
import { parseTarget, WITHHELD } from './model.js';
import { decode, encode } from './msgpack.js';
import { serve } from './server.js';
import { MAX_SINGLE_WRITE_BYTES } from '../constants/http.js';

const portOf = (server: http.Server): number => (server.address() as { port: number }).port;
const failed = (error: unknown): void => assert.fail(String(error));

const ask = (
  port: number,
  path: string,
  agent: http.Agent,
): Promise<{ status: number; connection: string | undefined }> =>
  new Promise((resolve, reject) => {
    const req = http.get({ host: '127.0.0.1', port, path, agent }, (res) => {
      res.resume();
      res.on('end', () => resolve({ status: res.statusCode ?? 0, connection: res.headers.connection }));
    });
    req.on('error', reject);
  });

test('http: a controller that serves all workers keeps room for users, health checks and peers', async () => {
  // Guards against a controller that refused users, because workers of other controllers had connected to it
  // and used all of its sockets.
  const server = await serve(
    parseTarget('127.0.0.1:0'),
    { connections: 20, closesWhenCrowded: (path) => path === '/hello' },
    1_000,
    () => Promise.resolve({ status: 200 }),
    failed,
  );
  const port = portOf(server);
  const workers = Array.from({ length: 60 }, () => new http.Agent({ keepAlive: true, maxSockets: 1 }));
  const connectionHeaders: (string | undefined)[] = [];
  for (const agent of workers) {
    const answer = await ask(port, '/hello', agent);
    assert.equal(answer.status, 200);
    connectionHeaders.push(answer.connection);
  }
  assert.equal(connectionHeaders.filter((connection) => connection === 'keep-alive').length, 17);
  const users = [new http.Agent({ keepAlive: true }), new http.Agent({ keepAlive: true })];
  for (const agent of users) {
    const answer = await ask(port, '/ready', agent);
    assert.equal(answer.status, 200);
    assert.equal(answer.connection, 'keep-alive', 'a connection of a user is kept open');
  }
  for (const agent of [...workers, ...users]) agent.destroy();
  server.closeAllConnections();
  server.close();
});

test('http: a connection without traffic is closed', async () => {
  // Guards against machines that fail or lose their network: they never close their connections, which
  // accumulated up to the limit.
  const server = await serve(
    parseTarget('127.0.0.1:0'),
    { connections: 5, idleMs: 100 },
    1_000,
    () => Promise.resolve({ status: 200 }),
    failed,
  );
  const agent = new http.Agent({ keepAlive: true });
  await ask(portOf(server), '/hello', agent);
  const count = (): Promise<number> =>
    new Promise((resolve, reject) => {
      server.getConnections((error, open) => (error ? reject(error) : resolve(open)));
    });
  assert.equal(await count(), 1);
  for (let tries = 0; tries < 100 && (await count()) > 0; tries += 1)
    await new Promise((resolve) => setTimeout(resolve, 20));
  assert.equal(await count(), 0);
  agent.destroy();
  server.close();
});

test('http: bodies with any byte and of any size are received unchanged', async () => {
  // Guards the single write of head and body, which passes bytes as text with one byte per character.
  const server = await serve(
    parseTarget('127.0.0.1:0'),
    { connections: 5 },
    100_000,
    (call) => Promise.resolve({ status: 200, body: call.body._tag === 'value' ? call.body.value : null }),
    failed,
  );
  const client = new PooledHttpClient(parseTarget(`127.0.0.1:${portOf(server)}`), 2);
  const bodies = [
    { text: 'äöü€ \u0000\u007f\u0080\u00ff 𝄞' },
    { numbers: [0, -1, 127, 128, 255, 256, 65_535, 2 ** 40, 1.5, -0.1] },
    { small: 'x'.repeat(MAX_SINGLE_WRITE_BYTES - 20) },
    { large: 'é'.repeat(MAX_SINGLE_WRITE_BYTES) },
  ];
  for (const body of bodies) {
    const answer = await client.request('POST', '/echo', body, 2_000);
    assert.deepEqual(answer, { _tag: 'response', status: 200, body });
    assert.deepEqual(decode(encode(body)), body);
  }
  server.closeAllConnections();
  server.close();
});

test('http: a request whose permission ends while it waits for a connection is never sent', async () => {
  // Guards against a process that was suspended: requests that wait inside the agent would be sent long after
  // the permission to send them was checked.
  const seen: string[] = [];
  let answerFirst = (): void => undefined;
  const server = await serve(
    parseTarget('127.0.0.1:0'),
    { connections: 5 },
    1_000,
    (call) => {
      seen.push(call.path);
      if (call.path !== '/first') return Promise.resolve({ status: 200 });
      return new Promise((resolve) => {
        answerFirst = () => resolve({ status: 200 });
      });
    },
    failed,
  );
  const client = new PooledHttpClient({ host: '127.0.0.1', port: portOf(server) }, 1);
  let allowed = true;
  let checks = 0;
  const maySend = (): boolean => {
    checks += 1;
    return allowed;
  };
  const first = client.request('POST', '/first', { n: 1 }, 2_000, maySend);
  while (seen.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  const second = client.request('POST', '/second', { n: 2 }, 2_000, maySend);
  allowed = false;
  answerFirst();
  assert.equal((await first)._tag, 'response');
  assert.deepEqual(await second, WITHHELD);
  allowed = true;
  const third = await client.request('POST', '/third', { n: 3 }, 2_000, maySend);
  assert.equal(third._tag, 'response', 'the next request gets a connection again');
  assert.deepEqual(seen, ['/first', '/third']);
  assert.equal(checks, 3, 'maySend is called once per request, right before sending');
  server.closeAllConnections();
  server.close();
});

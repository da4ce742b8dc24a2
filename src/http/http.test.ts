/**
 * Tests of HTTP client and server over sockets on loopback: limits of connections, and bodies as they were
 * sent.
 */
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

test('http: a controller left for all workers keeps room for users, health checks and siblings', async () => {
  // Guards against a controller whose sockets are all taken by workers that came over from others: users were
  // refused.
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
    assert.equal(answer.connection, 'keep-alive', 'a user keeps his connection');
  }
  for (const agent of [...workers, ...users]) agent.destroy();
  server.closeAllConnections();
  server.close();
});

test('http: a connection whose far end fell silent is closed', async () => {
  // Guards against machines that died or were cut off: their connections never close and added up to the
  // limit.
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

test('http: bodies of every byte and of any size arrive as they were sent', async () => {
  // Guards the single write of head and body, which carries bytes as text of one byte a character.
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

test('http: a request that loses its right while it waits for a connection is never sent', async () => {
  // Guards against a process that stood still: requests queue inside the agent, long after the right was
  // asked for.
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
  let right = true;
  let asked = 0;
  const maySend = (): boolean => {
    asked += 1;
    return right;
  };
  const first = client.request('POST', '/first', { n: 1 }, 2_000, maySend);
  while (seen.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  const second = client.request('POST', '/second', { n: 2 }, 2_000, maySend);
  right = false;
  answerFirst();
  assert.equal((await first)._tag, 'response');
  assert.deepEqual(await second, WITHHELD);
  right = true;
  const third = await client.request('POST', '/third', { n: 3 }, 2_000, maySend);
  assert.equal(third._tag, 'response', 'the next one has a connection again');
  assert.deepEqual(seen, ['/first', '/third']);
  assert.equal(asked, 3, 'each is asked for once, as its bytes would leave');
  server.closeAllConnections();
  server.close();
});

/** Records whole HTTP messages as sent on the wire: requests of the clients and responses of the server. */
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { PooledHttpClient } from '../http/client.js';
import { encode } from '../http/msgpack.js';
import { serve } from '../http/server.js';
import { WorkerClient } from '../workers/worker-client.js';
import { recordWith } from './deployment.js';
import type { Recording } from './fixtures.js';
import { HarnessedController } from './harness.js';
import { COMMANDS } from './in-memory-objects.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 5_000;
/** bytes: the largest request body that the recorded server accepts. */
const BODY_MAX = 64 * 1024;
const BODY = { name: 'größe', count: 3, list: [1, 2.5, null, true] };

/** A message received through a socket: the head as lines, the body in base64. */
const messageOnWire = (bytes: Buffer, port: number): object => {
  const text = bytes.toString('latin1');
  const end = text.indexOf('\r\n\r\n');
  return {
    head: text.slice(0, end).replaceAll(`:${port}`, ':PORT').split('\r\n'),
    body: bytes.subarray(end + 4).toString('base64'),
  };
};

const isCompleteMessage = (bytes: Buffer): boolean => {
  const text = bytes.toString('latin1');
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const length = /content-length: (\d+)/i.exec(text.slice(0, end))?.[1] ?? '0';
  return bytes.length >= end + 4 + Number(length);
};

const ANSWER = encode({});
const ANSWER_HEAD = [
  'HTTP/1.1 200 OK',
  'content-type: application/msgpack',
  `content-length: ${ANSWER.length}`,
  'connection: close',
  '\r\n',
].join('\r\n');

/** Starts a server that captures each request and answers it with an empty map. */
const startCapturingServer = (captured: Buffer[]): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer((socket: Socket) => {
      let bytes = Buffer.alloc(0);
      socket.on('data', (part) => {
        bytes = Buffer.concat([bytes, part]);
        if (!isCompleteMessage(bytes)) return;
        captured.push(bytes);
        socket.end(Buffer.concat([Buffer.from(ANSWER_HEAD), ANSWER]));
      });
      socket.on('error', () => undefined);
    });
    server.listen(0, HOST, () => resolve(server));
  });

const recordClients = async (): Promise<Recording> => {
  const captured: Buffer[] = [];
  const server = await startCapturingServer(captured);
  const { port } = server.address() as AddressInfo;
  const client = new PooledHttpClient({ host: HOST, port }, 1);
  const lastCaptured = (): object => messageOnWire(captured.at(-1) ?? Buffer.alloc(0), port);
  const recording: Record<string, unknown> = {};
  await client.request('GET', '/store/w/level', undefined, TIMEOUT_MS);
  recording['request without a body'] = lastCaptured();
  await client.request('POST', '/txn', BODY, TIMEOUT_MS);
  recording['request with a body'] = lastCaptured();
  await client.request('POST', '/machines', BODY, TIMEOUT_MS, () => true);
  recording['request that asks for its right'] = lastCaptured();
  await new WorkerClient(4).send(`${HOST}:${port}`, 41, 3, COMMANDS);
  recording['commands to a worker'] = lastCaptured();
  await new WorkerClient(4).send(`${HOST}:${port}`, 41, 3, []);
  recording['greeting of a worker'] = lastCaptured();
  server.close();
  return recording;
};

const exchange = (port: number, request: Buffer): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const socket = connect(port, HOST, () => socket.write(request));
    let bytes = Buffer.alloc(0);
    socket.on('data', (part) => {
      bytes = Buffer.concat([bytes, part]);
      if (!isCompleteMessage(bytes)) return;
      socket.destroy();
      resolve(bytes);
    });
    socket.on('error', reject);
  });

const requestBytes = (path: string, body: Buffer): Buffer =>
  Buffer.concat([
    Buffer.from(`POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n`),
    body,
  ]);

const recordServer = async (): Promise<Recording> => {
  const replies: Readonly<Record<string, Parameters<typeof serve>[3]>> = {
    '/packed': () => Promise.resolve({ status: 201, body: BODY }),
    '/headers': () => Promise.resolve({ status: 503, body: BODY, headers: { 'retry-after': '1' } }),
    '/empty': () => Promise.resolve({ status: 404 }),
    '/text': () =>
      Promise.resolve({ status: 200, text: '{}\n', headers: { 'content-type': 'application/json' } }),
    '/plain': () => Promise.resolve({ status: 200, text: 'größe\n' }),
    '/failure': () => Promise.reject(new Error('defect')),
  };
  const server = await serve(
    { host: HOST, port: 0 },
    { connections: 8 },
    BODY_MAX,
    (call) => (replies[call.path] ?? (() => Promise.resolve({ status: 500 })))(call),
    () => undefined,
  );
  const { port } = server.address() as AddressInfo;
  const recording: Record<string, unknown> = {};
  for (const path of Object.keys(replies))
    recording[`answer of ${path}`] = messageOnWire(
      await exchange(port, requestBytes(path, encode(BODY))),
      port,
    );
  server.closeAllConnections();
  server.close();
  return recording;
};

/** Request bodies that are empty, malformed or too large, by name. */
const REJECTED_BODIES: Readonly<Record<string, Buffer>> = {
  empty: Buffer.alloc(0),
  malformed: encode(BODY).subarray(0, 12),
  'too large': Buffer.alloc(BODY_MAX + 1),
  'too large as JSON': encode({ text: '\n'.repeat(BODY_MAX / 2) }),
};

const recordRejectedBodies = async (): Promise<Recording> => {
  const controller = new HarnessedController('n0');
  return recordWith(controller, async (recording) => {
    controller.start();
    const server = await serve(
      { host: HOST, port: 0 },
      { connections: 8 },
      BODY_MAX,
      controller.route,
      () => undefined,
    );
    const { port } = server.address() as AddressInfo;
    for (const path of ['/v2/runs', '/hello'])
      for (const [name, body] of Object.entries(REJECTED_BODIES))
        recording[`answer of ${path} to a body that is ${name}`] = messageOnWire(
          await exchange(port, requestBytes(path, body)),
          port,
        );
    server.closeAllConnections();
    server.close();
  });
};

/** Records whole HTTP messages. */
export const recordHttpBytes = async (): Promise<Recording> => ({
  ...(await recordClients()),
  ...(await recordServer()),
  ...(await recordRejectedBodies()),
});

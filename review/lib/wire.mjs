/** MessagePack over HTTP/1.1 on loopback: a small server, a small client, free ports. */
import * as http from 'node:http';
import * as net from 'node:net';
import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false, mapsAsObjects: true, int64AsType: 'number' });

export const HOST = '127.0.0.1';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const pack = (value) => packr.pack(value);
const unpack = (parts) => (parts.length === 0 ? null : packr.unpack(Buffer.concat(parts)));

const FIRST_PORT = 18_000;
const LAST_PORT = 30_000;
const given = new Set();
const canListen = (port) =>
  new Promise((resolve) => {
    const probe = net.createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, HOST, () => probe.close(() => resolve(true)));
  });

/**
 * Returns a port that nobody listens on, below those that the system gives to outgoing connections: a
 * controller that is started again must find its port free.
 */
export const freePort = async () => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (given.has(port) || !(await canListen(port))) continue;
    given.add(port);
    return port;
  }
};

/**
 * Serves requests; `handle({ method, path, query, body })` resolves to `{ status, body }`, or to null if no
 * answer is to be sent.
 */
export const serve = (port, handle) =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('error', () => undefined);
      request.on('end', async () => {
        const url = new URL(request.url, `http://${HOST}`);
        const body = parts.length === 0 ? null : unpack(parts);
        const answer = await handle({
          method: request.method,
          path: url.pathname,
          query: url.searchParams,
          body,
        });
        if (answer === null || response.destroyed) return;
        const payload = pack(answer.body ?? {});
        response.writeHead(answer.status, {
          'content-type': 'application/msgpack',
          'content-length': payload.length,
        });
        response.end(payload);
      });
    });
    server.keepAliveTimeout = 0;
    server.requestTimeout = 0;
    server.once('error', reject);
    server.listen(port, HOST, () => resolve(server));
  });

/** Sends one request. Resolves to `{ status, body }`; status 0: no answer (`why` says why). */
export const call = (port, method, path, body, timeoutMs, agent) =>
  new Promise((resolve) => {
    const payload = body === undefined ? undefined : pack(body);
    const headers = payload
      ? { 'content-type': 'application/msgpack', 'content-length': payload.length }
      : {};
    const request = http.request({ host: HOST, port, method, path, headers, agent }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', (error) => end({ status: 0, body: null, why: error.message }));
      response.on('end', () => end({ status: response.statusCode, body: unpack(parts) }));
    });
    const timer = setTimeout(() => {
      end({ status: 0, body: null, why: `no answer within ${timeoutMs} ms` });
      request.destroy();
    }, timeoutMs);
    const end = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', (error) => end({ status: 0, body: null, why: error.code ?? error.message }));
    request.end(payload);
  });

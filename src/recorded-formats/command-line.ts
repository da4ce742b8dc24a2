/** Records the command line: the output of `dalegate duties` for recorded answers, errors and exit codes. */
import { spawn } from 'node:child_process';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { recordedJson } from './deployment.js';
import type { Recording } from './fixtures.js';

const HOST = '127.0.0.1';
/** The bundled program, as installations run it; tests run in the root of the repository. */
const PROGRAM = 'target/app/main.js';
/** A port on which no process listens. */
const CLOSED_PORT = 9;
/** The recorded answers, by path; the path of the duty `adopt` gets the answer recorded in an outage. */
const ANSWERS: Readonly<Record<string, readonly [fixture: string, entry: string]>> = {
  '/admin/v1/duties': ['leader', 'GET /admin/v1/duties from 10.1.2.3: answer'],
  '/admin/v1/duties/move': ['leader', 'GET /admin/v1/duties/move from 10.1.2.3: answer'],
  '/admin/v1/duties/adopt': ['users', 'duties in an outage: answer'],
  '/admin/v1/duties/lease-out': ['leader', 'GET /admin/v1/duties/lease-out from 10.1.2.3: answer'],
  '/admin/v1/duties/rent%2Fx': ['leader', 'GET /admin/v1/duties/rent/x from 10.1.2.3: answer'],
};

const run = (args: readonly string[], port: number): Promise<object> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: 'pipe' });
    let out = '';
    let err = '';
    child.stdout.on('data', (part: Buffer) => (out += part.toString()));
    child.stderr.on('data', (part: Buffer) => (err += part.toString()));
    const lines = (text: string): readonly string[] => text.replaceAll(`:${port}`, ':PORT').split('\n');
    child.on('close', (code) => resolve({ code, out: lines(out), err: lines(err) }));
  });

/** Records the command line against a server that returns the recorded answers. */
export const recordCommandLine = async (): Promise<Recording> => {
  const server = createServer((request, response) => {
    const entry = ANSWERS[request.url ?? ''];
    const { status, text } = (entry === undefined ? {} : recordedJson(...entry)) as {
      status?: number;
      text?: string;
    };
    response.writeHead(status ?? 500, { 'content-type': 'application/json' });
    response.end(text ?? '');
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const node = `${HOST}:${port}`;
  const invocations: readonly (readonly string[])[] = [
    ['duties', '--node', node],
    ['duties', '--node', node, '--json'],
    ['duties', 'move', '--node', node],
    ['duties', 'move', '--node', node, '--json'],
    ['duties', 'adopt', '--node', node],
    ['duties', 'lease-out', '--node', node],
    ['duties', 'rent/x', '--node', node],
    ['duties', 'unexpected', '--node', node],
    ['duties', '--node', `${HOST}:${CLOSED_PORT}`],
    ['duties'],
    ['duties', '--nodes', node],
    ['dutys'],
    [],
    ['--help'],
    ['--config', 'no-such-settings.json'],
  ];
  const recording: Record<string, unknown> = {};
  try {
    for (const args of invocations) {
      const commandLine = ['dalegate', ...args].join(' ').replace(`:${port}`, ':PORT');
      recording[commandLine] = await run(args, port);
    }
  } finally {
    server.close();
  }
  return recording;
};

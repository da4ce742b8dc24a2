/** Assigns ports to the processes and listeners of loopback tests. State: the next port to try. */
import { createServer } from 'node:net';

/** The address that all processes and stand-ins listen on. */
export const LOOPBACK_HOST = '127.0.0.1';

/**
 * The ports are below the system's ephemeral range, so that no connection or listener of another process
 * takes one between the check and its use, or while a killed controller is down. Each process uses its own
 * range.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_PROCESS = 100;
const PROCESS_RANGES = 200;
let nextPort = FIRST_PORT + (process.pid % PROCESS_RANGES) * PORTS_PER_PROCESS;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK_HOST, () => server.close(() => resolve(true)));
  });

/** Returns a port that nothing listens on; a process never gets the same port twice. */
export const freePort = async (): Promise<number> => {
  for (;;) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) return port;
  }
};

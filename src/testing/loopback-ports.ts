/** Ports for the processes and listeners of loopback tests. Owns the next port to try. */
import { createServer } from 'node:net';

/** Where everything listens. */
export const LOOPBACK_HOST = '127.0.0.1';

/**
 * Ports below those that the system hands out by itself, so that no connection or listener of another process
 * takes one between the look and its use, nor while a killed controller is down. Each process has its own.
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

/** A port that nothing listens on; none is given out twice by one process. */
export const freePort = async (): Promise<number> => {
  for (;;) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) return port;
  }
};

/** `dalegate duties`: requests the duties from a controller and prints them. `cli/main.ts` calls it. */
import * as http from 'node:http';
import { ADMIN_REQUEST_TIMEOUT_MS, EXIT_FAILED, EXIT_OK } from '../constants/command-line.js';
import { readDuties } from '../duties/admin-codec.js';
import { parseTarget } from '../http/model.js';
import { formatDuties } from './duties-text.js';

interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** Result of a request to a controller. */
type AdminResult =
  ({ readonly _tag: 'answered' } & TextResponse) | { readonly _tag: 'noAnswer'; readonly reason: string };

/** Sends a GET request; rejects if no response is received or if `node` is not a valid address. */
const fetchText = (node: string, path: string): Promise<TextResponse> =>
  new Promise((resolve, reject) => {
    const { host, port } = parseTarget(node);
    const request = http.get({ host, port, path, timeout: ADMIN_REQUEST_TIMEOUT_MS }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', reject);
      response.on('end', () => {
        resolve({ status: response.statusCode ?? 0, text: Buffer.concat(parts).toString('utf8') });
      });
    });
    request.on('timeout', () => request.destroy(new Error('the request timed out')));
    request.on('error', reject);
  });

const requestFromController = async (node: string, path: string): Promise<AdminResult> => {
  try {
    return { _tag: 'answered', ...(await fetchText(node, path)) };
  } catch (error) {
    return { _tag: 'noAnswer', reason: (error as Error).message };
  }
};

/** Prints one duty (undefined: all duties) as a controller reports it; resolves to the exit code. */
export const printDuties = async (node: string, duty: string | undefined, json: boolean): Promise<number> => {
  const path = `/admin/v1/duties${duty === undefined ? '' : `/${encodeURIComponent(duty)}`}`;
  const answer = await requestFromController(node, path);
  if (answer._tag === 'noAnswer') {
    process.stderr.write(`duties: ${node} does not answer: ${answer.reason}; try another node\n`);
    return EXIT_FAILED;
  }
  if (answer.status !== 200) {
    process.stderr.write(`duties: ${node} answered ${answer.status}: ${answer.text}`);
    return EXIT_FAILED;
  }
  process.stdout.write(json ? answer.text : formatDuties(readDuties(answer.text)));
  return EXIT_OK;
};

/** `dalegate duties`: asks a controller for its duties and prints the answer. Called by the program. */
import * as http from 'node:http';
import { ADMIN_REQUEST_TIMEOUT_MS, EXIT_FAILED, EXIT_OK } from '../constants/command-line.js';
import { readDuties } from '../duties/admin-codec.js';
import { parseTarget } from '../http/model.js';
import { formatDuties } from './duties-text.js';

interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** What came of the request to a controller. */
type AdminResult =
  ({ readonly _tag: 'answered' } & TextResponse) | { readonly _tag: 'noAnswer'; readonly reason: string };

/** Rejects if there is no answer, or if the address can't be one. */
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
    request.on('timeout', () => request.destroy(new Error('no answer in time')));
    request.on('error', reject);
  });

const requestFromController = async (node: string, path: string): Promise<AdminResult> => {
  try {
    return { _tag: 'answered', ...(await fetchText(node, path)) };
  } catch (error) {
    return { _tag: 'noAnswer', reason: (error as Error).message };
  }
};

/** Prints the duties as one controller sees them; resolves to the exit code. */
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

/**
 * Submits one job to a controller and follows it to its end: `node target/testing/submit.js ADDRESS [TASKS]`.
 * Meant for a first look together with `load.ts`, whose stand-ins run the tasks. Prints each change; exits
 * with 1 if it is not done in time.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { PooledHttpClient } from '../http/client.js';
import { parseTarget } from '../http/model.js';
import { submission } from './bodies.js';

const POLL_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
const MAX_WAIT_MS = 120_000;
/** A team that the stand-ins of `load.ts` know. */
const TEAM = 't0';

const main = async (address: string, tasks: number): Promise<number> => {
  const client = new PooledHttpClient(parseTarget(address), 1);
  const id = `job-${Date.now()}`;
  const body = submission({ uid: id, owner: TEAM, heads: tasks, accelerators: 1, expectedS: 20 });
  const accepted = await client.request('POST', '/v2/runs', body, REQUEST_TIMEOUT_MS);
  console.log(`POST /v2/runs ${id}:`, accepted);
  if (accepted._tag !== 'response' || accepted.status >= 300) return 1;
  let before = '';
  for (const begun = Date.now(); Date.now() - begun < MAX_WAIT_MS;) {
    await sleep(POLL_MS);
    const answer = await client.request('GET', `/v2/runs/${id}`, undefined, REQUEST_TIMEOUT_MS);
    const now = JSON.stringify(answer);
    if (now !== before) console.log(`GET /v2/runs/${id}:`, answer);
    before = now;
    if (answer._tag === 'response' && (answer.body as { status?: string }).status === 'done') return 0;
  }
  return 1;
};

const [address, tasks] = process.argv.slice(2);
if (address === undefined) {
  console.error('usage: submit ADDRESS [TASKS], such as 127.0.0.1:21010 4');
  process.exit(2);
}
process.exit(await main(address, Number(tasks ?? 4)));

/**
 * Writes the fixtures: `node target/recorded-formats/recorder.js` in the root of the repository, after the
 * bundle was made. It was run once, with the sources of the version that the fixtures name, and is kept to
 * show where they come from; it refuses to write over a fixture that is there.
 */
import { existsSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import * as prettier from 'prettier';
import { recordCatalog } from './catalog.js';
import { recordCommandLine } from './command-line.js';
import { recordFirstHeartbeats } from './deployment.js';
import { fixtureFile, type Recording } from './fixtures.js';
import { recordHolder } from './holder.js';
import { recordHttpBytes } from './http-bytes.js';
import { recordLeader } from './leader.js';
import { recordOtherHolder } from './other-holder.js';
import { recordReceivers } from './receivers.js';
import { recordTakeover } from './takeover.js';
import { recordStoredValues } from './stored-values.js';
import { recordUsers } from './users.js';

/** In this order: what one sends is what the next receives. */
const RECORDERS: readonly (readonly [name: string, record: () => Promise<Recording>])[] = [
  ['stored-values', recordStoredValues],
  ['http-bytes', recordHttpBytes],
  ['first-beats', recordFirstHeartbeats],
  ['other-holder', recordOtherHolder],
  ['holder', recordHolder],
  ['leader', recordLeader],
  ['receivers', recordReceivers],
  ['takeover', recordTakeover],
  ['users', recordUsers],
  ['catalog', () => recordCatalog(true)],
  ['command-line', recordCommandLine],
];

for (const [name, record] of RECORDERS) {
  const file = fileURLToPath(fixtureFile(name));
  if (existsSync(file)) {
    process.stdout.write(`${name}: is there\n`);
    continue;
  }
  const options = await prettier.resolveConfig(file);
  const text = await prettier.format(JSON.stringify(await record()), { ...options, parser: 'json' });
  writeFileSync(file, text);
  process.stdout.write(`${name}: written\n`);
}

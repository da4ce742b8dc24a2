import { existsSync, readFileSync } from 'node:fs';
import { parseArgs, type ParseArgsConfig } from 'node:util';
import { checkFeatures, NO_FEATURES, type Features } from '../settings/features.js';
import { ANYONE, checkNetworks, type AdminAccess } from '../settings/networks.js';
import { checkSettings, type Settings } from '../settings/schema.js';

/** Exit code: a bad argument or file. */
const EXIT_USAGE = 2;

const USAGE = `usage: dalegate --config FILE [--features FILE] [--networks FILE]
       dalegate duties [NAME] --node HOST:PORT [--json]

  --config FILE     run a controller with the platform's settings
  --features FILE   subsystems to switch on; deploy/features.toml of the installation unless given
  --networks FILE   from where the administration API may be used; deploy/networks.toml unless given
  duties [NAME]     who holds which duty, open intents and refused effects, as a controller sees them
  --node HOST:PORT  the API address of any controller
  --json            print the answer as it is

examples: dalegate --config settings.json
          dalegate duties rent --node 10.0.0.1:8080
`;

const OPTIONS = {
  config: { type: 'string' },
  features: { type: 'string' },
  networks: { type: 'string' },
  node: { type: 'string' },
  json: { type: 'boolean' },
  help: { type: 'boolean' },
} as const satisfies ParseArgsConfig['options'];

/** The files that the installation comes with: beside `target/`, in which the bundle lies two levels down. */
const INSTALLED_FEATURES = new URL('../../deploy/features.toml', import.meta.url);
const INSTALLED_NETWORKS = new URL('../../deploy/networks.toml', import.meta.url);

const fail = (message: string, code: number): never => {
  process.stderr.write(message.endsWith('\n') ? message : `${message}\n`);
  process.exit(code);
};

const readSettings = (file: string): Settings => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return fail(`settings: ${(error as Error).message}`, EXIT_USAGE);
  }
  const checked = checkSettings(text);
  return checked._tag === 'ok' ? checked.settings : fail(checked.message, EXIT_USAGE);
};

/** The text of an optional file: the one that is named, or else the installation's, if there is one. */
const readOptional = (what: string, named: string | undefined, installed: URL): string | null => {
  if (named === undefined && !existsSync(installed)) return null;
  try {
    return readFileSync(named ?? installed, 'utf8');
  } catch (error) {
    return fail(`${what}: ${(error as Error).message}`, EXIT_USAGE);
  }
};

const readFeatures = (file: string | undefined): Features => {
  const text = readOptional('features', file, INSTALLED_FEATURES);
  if (text === null) return NO_FEATURES;
  const checked = checkFeatures(text);
  return checked._tag === 'ok' ? checked.features : fail(checked.message, EXIT_USAGE);
};

const readNetworks = (file: string | undefined): AdminAccess => {
  const text = readOptional('networks', file, INSTALLED_NETWORKS);
  if (text === null) return ANYONE;
  const checked = checkNetworks(text);
  return checked._tag === 'ok' ? checked.admin : fail(checked.message, EXIT_USAGE);
};

/** Runs the program. What a command needs beyond the settings is loaded only when it is asked for. */
export const main = async (args: readonly string[]): Promise<void> => {
  let parsed;
  try {
    parsed = parseArgs({ args: [...args], options: OPTIONS, allowPositionals: true });
  } catch (error) {
    return fail(`${(error as Error).message}\n\n${USAGE}`, EXIT_USAGE);
  }
  const { values, positionals } = parsed;
  if (values.help) {
    process.stdout.write(USAGE);
    return;
  }
  const [command, name] = positionals;
  if (command === 'duties') {
    if (values.node === undefined) return fail(`duties: --node HOST:PORT is missing\n\n${USAGE}`, EXIT_USAGE);
    const { printDuties } = await import('./duties.js');
    process.exitCode = await printDuties(values.node, name, values.json ?? false);
    return;
  }
  if (command !== undefined || values.config === undefined) return fail(USAGE, EXIT_USAGE);
  const settings = readSettings(values.config);
  const features = readFeatures(values.features);
  const { start } = await import('../controller/start.js');
  await start(settings, features, readNetworks(values.networks));
};

/** Parses the arguments of the command line; holds the usage text. Pure. */
import { parseArgs, type ParseArgsConfig } from 'node:util';

/** The text that explains the command line. */
export const USAGE = `usage: dalegate --config FILE [--features FILE] [--networks FILE]
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

/** Paths of the files that a controller is configured with. */
export interface ConfigurationFiles {
  readonly settings: string;
  /** Undefined: the feature file of the installation. */
  readonly features: string | undefined;
  /** Undefined: the network file of the installation. */
  readonly networks: string | undefined;
}

/** The command that the arguments describe. */
export type Command =
  | { readonly _tag: 'help' }
  | { readonly _tag: 'runController'; readonly files: ConfigurationFiles }
  | {
      readonly _tag: 'printDuties';
      /** API address of a controller, as HOST:PORT. */
      readonly node: string;
      /** Undefined: all duties. */
      readonly duty: string | undefined;
      /** Whether the controller's response is printed unchanged, as JSON. */
      readonly json: boolean;
    }
  /** The arguments are invalid; the message includes the usage text. */
  | { readonly _tag: 'usageError'; readonly message: string };

const parseOptions = (args: readonly string[]) =>
  parseArgs({ args: [...args], options: OPTIONS, allowPositionals: true });

type ParsedOptions = ReturnType<typeof parseOptions>;

const toCommand = ({ values, positionals }: ParsedOptions): Command => {
  if (values.help) return { _tag: 'help' };
  const [command, duty] = positionals;
  if (command === 'duties') {
    if (values.node === undefined)
      return { _tag: 'usageError', message: `duties: --node HOST:PORT is missing\n\n${USAGE}` };
    return { _tag: 'printDuties', node: values.node, duty, json: values.json ?? false };
  }
  if (command !== undefined || values.config === undefined) return { _tag: 'usageError', message: USAGE };
  const { config: settings, features, networks } = values;
  return { _tag: 'runController', files: { settings, features, networks } };
};

/** Parses the arguments that follow the program's name. */
export const parseArguments = (args: readonly string[]): Command => {
  let options: ParsedOptions;
  try {
    options = parseOptions(args);
  } catch (error) {
    return { _tag: 'usageError', message: `${(error as Error).message}\n\n${USAGE}` };
  }
  return toCommand(options);
};

/** The program: parses the arguments, then runs a controller or prints the duties. `src/main.ts` calls it. */
import { EXIT_USAGE } from '../constants/command-line.js';
import { parseArguments, USAGE, type ConfigurationFiles } from './arguments.js';
import { loadConfiguration } from './configuration.js';

/** Writes a message to standard error and exits with `EXIT_USAGE`. */
const exitWithUsageError = (message: string): never => {
  process.stderr.write(message.endsWith('\n') ? message : `${message}\n`);
  process.exit(EXIT_USAGE);
};

const runController = async (files: ConfigurationFiles): Promise<void> => {
  const configuration = loadConfiguration(files);
  if (configuration._tag === 'failed') return exitWithUsageError(configuration.message);
  const { settings, features, admin } = configuration.value;
  const { start } = await import('../controller/start.js');
  await start(settings, features, admin);
};

/** Runs the program. Modules that only one command needs are imported when that command runs. */
export const main = async (args: readonly string[]): Promise<void> => {
  const command = parseArguments(args);
  switch (command._tag) {
    case 'help':
      process.stdout.write(USAGE);
      return;
    case 'usageError':
      return exitWithUsageError(command.message);
    case 'printDuties': {
      const { printDuties } = await import('./duties-command.js');
      process.exitCode = await printDuties(command.node, command.duty, command.json);
      return;
    }
    case 'runController':
      return runController(command.files);
  }
};

/** The program: reads the arguments, and runs a controller or prints its duties. Called by `src/main.ts`. */
import { EXIT_USAGE } from '../constants/command-line.js';
import { parseArguments, USAGE, type ConfigurationFiles } from './arguments.js';
import { loadConfiguration } from './configuration.js';

/** Ends the process with a message on standard error. */
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

/** Runs the program. What a command needs beyond the settings is loaded only when it is asked for. */
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

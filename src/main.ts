#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { checkSettings } from './settings/schema.js';

/** `--config FILE` alone starts the service; everything else is loaded only when asked for. */
const main = async (args: readonly string[]): Promise<void> => {
  if (args[0] === '--config' && args[1] !== undefined) {
    let text: string;
    try {
      text = readFileSync(args[1], 'utf8');
    } catch (error) {
      process.stderr.write(`settings: ${(error as Error).message}\n`);
      process.exit(2);
    }
    const checked = checkSettings(text);
    if (checked._tag === 'bad') {
      process.stderr.write(`${checked.message}\n`);
      process.exit(2);
    }
    const { start } = await import('./start.js');
    await start(checked.settings);
    return;
  }
  process.stderr.write('usage: dalegate --config FILE\n');
  process.exit(2);
};

await main(process.argv.slice(2));

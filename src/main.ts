#!/usr/bin/env node
/** The entry point of the program. */
import { main } from './cli/main.js';

await main(process.argv.slice(2));

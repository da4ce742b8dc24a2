import { compareWithFixture } from './fixtures.js';
import { recordCommandLine } from './command-line.js';

compareWithFixture('command-line', recordCommandLine);

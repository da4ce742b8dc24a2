import { compareWithFixture } from './fixtures.js';
import { recordTakeover } from './takeover.js';

compareWithFixture('takeover', recordTakeover);

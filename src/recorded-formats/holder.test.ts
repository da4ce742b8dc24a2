import { compareWithFixture } from './fixtures.js';
import { recordHolder } from './holder.js';

compareWithFixture('holder', recordHolder);

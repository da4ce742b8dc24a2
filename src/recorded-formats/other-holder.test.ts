import { compareWithFixture } from './fixtures.js';
import { recordOtherHolder } from './other-holder.js';

compareWithFixture('other-holder', recordOtherHolder);

import { compareWithFixture } from './fixtures.js';
import { recordReceivers } from './receivers.js';

compareWithFixture('receivers', recordReceivers);

import { compareWithFixture } from './fixtures.js';
import { recordLeader } from './leader.js';

compareWithFixture('leader', recordLeader);

import { compareWithFixture } from './fixtures.js';
import { recordFirstHeartbeats } from './deployment.js';

compareWithFixture('first-beats', recordFirstHeartbeats);

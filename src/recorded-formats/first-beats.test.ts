import { compareWithFixture } from './fixtures.js';
import { recordFirstBeats } from './deployment.js';

compareWithFixture('first-beats', recordFirstBeats);

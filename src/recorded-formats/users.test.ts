import { compareWithFixture } from './fixtures.js';
import { recordUsers } from './users.js';

compareWithFixture('users', recordUsers);

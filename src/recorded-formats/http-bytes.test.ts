import { compareWithFixture } from './fixtures.js';
import { recordHttpBytes } from './http-bytes.js';

compareWithFixture('http-bytes', recordHttpBytes);

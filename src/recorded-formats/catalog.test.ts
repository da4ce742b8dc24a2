import { compareWithFixture } from './fixtures.js';
import { recordCatalog } from './catalog.js';

compareWithFixture('catalog', () => recordCatalog());

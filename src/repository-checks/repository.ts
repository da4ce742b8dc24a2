/** Lists and reads the files of this repository for the repository checks. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository. The compiled checks are in `target/repository-checks`, two levels below it. */
const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const SKIPPED_FOLDERS: ReadonlySet<string> = new Set(['.git', 'journal', 'node_modules', 'target']);
const SOURCE_FILE = /^(?:src|packages\/[^/]+\/src)\/.*\.ts$/;

const filesBelow = (folder: string): readonly string[] =>
  readdirSync(join(ROOT, folder), { withFileTypes: true }).flatMap((entry) => {
    const path = folder === '' ? entry.name : `${folder}/${entry.name}`;
    if (!entry.isDirectory()) return [path];
    return SKIPPED_FOLDERS.has(entry.name) ? [] : filesBelow(path);
  });

/** Returns the paths of all files below the root, except generated and installed files and the journal. */
export const repositoryFiles = (): readonly string[] => filesBelow('').toSorted();

/** Returns the paths of the TypeScript sources, including tests. */
export const sourceFiles = (): readonly string[] =>
  repositoryFiles().filter((path) => SOURCE_FILE.test(path));

/** Returns whether the path belongs to a test or to code that only tests use. */
export const isTestCode = (path: string): boolean =>
  path.endsWith('.test.ts') ||
  path.includes('/testing/') ||
  path.startsWith('src/recorded-formats/') ||
  path.startsWith('src/repository-checks/');

/** Returns the text of a file. */
export const readText = (path: string): string => readFileSync(join(ROOT, path), 'utf8');

/** Returns whether a file or folder with this path exists. */
export const pathExists = (path: string): boolean => existsSync(join(ROOT, path));

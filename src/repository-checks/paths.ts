/** Whether a path that a page or a comment names leads to a file of this repository. */
import { posix } from 'node:path';

/** Where a path may begin: at the root, in a source folder, or beside the file that names it. */
const SOURCE_FOLDERS = ['src', 'packages/fencing/src'] as const;
const TOP_FOLDERS = ['deploy', 'docs', 'eslint', 'packages', 'src'] as const;
const FILE_ENDINGS = ['ts', 'js', 'md', 'toml'] as const;

const FILE = new RegExp(`^(?:[\\w.*-]+/)*[\\w.*-]+\\.(?:${FILE_ENDINGS.join('|')})$`);
const TOP_PATH = new RegExp(`^(?:${TOP_FOLDERS.join('|')})/[\\w./*-]*$`);
const PATH_IN_PROSE = new RegExp(
  `(?<![\\w./*-])(?:[\\w.*-]+/)+[\\w.*-]+\\.(?:${FILE_ENDINGS.join('|')})\\b`,
  'g',
);

/** Does the word look like a path in this repository? */
export const looksLikePath = (word: string): boolean => FILE.test(word) || TOP_PATH.test(word);

/** Paths in plain text: those with a folder and the ending of a file. */
export const pathsInProse = (text: string): readonly string[] => text.match(PATH_IN_PROSE) ?? [];

/** Compiled files stand for their sources. */
const toSourcePath = (path: string): string =>
  path.startsWith('target/') ? path.replace(/^target\//, 'src/').replace(/\.js$/, '.ts') : path;

const globToRegExpSource = (path: string): string => path.replaceAll('.', '\\.').replaceAll('*', '[^/]*');

/** Is the path there, seen from the file that names it? A bare file name may be anywhere. */
export const resolvesToFile = (path: string, from: string, files: readonly string[]): boolean => {
  const wanted = toSourcePath(path).replace(/\/$/, '');
  if (!path.includes('/')) {
    const anywhere = new RegExp(`(?:^|/)${globToRegExpSource(wanted)}$`);
    return files.some((file) => anywhere.test(file));
  }
  const starts = ['', ...SOURCE_FOLDERS, posix.dirname(from)];
  return starts.some((start) => {
    const candidate = posix.join(start, wanted);
    const exactly = new RegExp(`^${globToRegExpSource(candidate)}$`);
    return files.some((file) => exactly.test(file) || file.startsWith(`${candidate}/`));
  });
};

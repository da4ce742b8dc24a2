/** Decides whether a path in a page or a comment matches a file of this repository. */
import { posix } from 'node:path';

/** Folders that a path may be relative to, besides the root and the folder of the file that names it. */
const SOURCE_FOLDERS = ['src', 'packages/fencing/src'] as const;
const TOP_FOLDERS = ['deploy', 'docs', 'eslint', 'packages', 'src'] as const;
const FILE_EXTENSIONS = ['ts', 'js', 'md', 'toml'] as const;

const FILE = new RegExp(`^(?:[\\w.*-]+/)*[\\w.*-]+\\.(?:${FILE_EXTENSIONS.join('|')})$`);
const TOP_PATH = new RegExp(`^(?:${TOP_FOLDERS.join('|')})/[\\w./*-]*$`);
const PATH_IN_PROSE = new RegExp(
  `(?<![\\w./*-])(?:[\\w.*-]+/)+[\\w.*-]+\\.(?:${FILE_EXTENSIONS.join('|')})\\b`,
  'g',
);

/** Returns whether the word looks like a path in this repository. */
export const looksLikePath = (word: string): boolean => FILE.test(word) || TOP_PATH.test(word);

/** Returns the paths in plain text: words with a folder and a file extension. */
export const pathsInProse = (text: string): readonly string[] => text.match(PATH_IN_PROSE) ?? [];

/** Converts the path of a compiled file to the path of its source. */
const toSourcePath = (path: string): string =>
  path.startsWith('target/') ? path.replace(/^target\//, 'src/').replace(/\.js$/, '.ts') : path;

const globToRegExpSource = (path: string): string => path.replaceAll('.', '\\.').replaceAll('*', '[^/]*');

/**
 * Returns whether the path matches one of `files` when resolved from the file `from` that names it. A file
 * name without a folder may match in any folder.
 */
export const resolvesToFile = (path: string, from: string, files: readonly string[]): boolean => {
  const wanted = toSourcePath(path).replace(/\/$/, '');
  if (!path.includes('/')) {
    const inAnyFolder = new RegExp(`(?:^|/)${globToRegExpSource(wanted)}$`);
    return files.some((file) => inAnyFolder.test(file));
  }
  const starts = ['', ...SOURCE_FOLDERS, posix.dirname(from)];
  return starts.some((start) => {
    const candidate = posix.join(start, wanted);
    const exactPath = new RegExp(`^${globToRegExpSource(candidate)}$`);
    return files.some((file) => exactPath.test(file) || file.startsWith(`${candidate}/`));
  });
};

/** Finds words of the wire protocols in TypeScript sources, in names of any case style. */
import ts from 'typescript';
import { lineOf, nodesBelow, parseModule } from './syntax.js';

/** A use of a wire word and the line that it is on. */
export interface WireWord {
  readonly word: string;
  readonly line: number;
}

/**
 * The words to find, each in lower case with spaces between its parts: `brandMark` is `brand mark`.
 */
export interface WireVocabulary {
  /** Words without any other meaning in this project: reported in any name and any literal. */
  readonly unambiguous: readonly string[];
  /** Words that are ordinary English too: reported only as the name of a property or as a whole literal. */
  readonly ambiguous: readonly string[];
  /** Standard terms that contain a wire word; the search ignores them. */
  readonly allowedTerms: readonly string[];
  /** Request paths, reported at the beginning of a literal. */
  readonly paths: readonly string[];
}

const PART_BOUNDARY = /[^A-Za-z0-9]+|(?<=[a-z0-9])(?=[A-Z])/;

const normalizeName = (name: string): string =>
  name
    .split(PART_BOUNDARY)
    .filter((part) => part !== '')
    .join(' ')
    .toLowerCase();

const containsWord = (name: string, word: string, terms: readonly string[]): boolean => {
  const parts = terms.reduce((rest, term) => rest.replaceAll(` ${term} `, ' '), ` ${normalizeName(name)} `);
  return parts.includes(` ${word} `);
};

const isPropertyName = (node: ts.Identifier): boolean =>
  (ts.isObjectLiteralElement(node.parent) || ts.isTypeElement(node.parent)) && node.parent.name === node;

const isLiteral = (node: ts.Node): node is ts.LiteralLikeNode =>
  ts.isStringLiteral(node) || ts.isNoSubstitutionTemplateLiteral(node) || ts.isTemplateLiteralToken(node);

const isModuleName = (node: ts.Node): boolean =>
  ts.isImportDeclaration(node.parent) || ts.isExportDeclaration(node.parent);

const matchWords = (
  node: ts.Node,
  { unambiguous, ambiguous, allowedTerms, paths }: WireVocabulary,
): readonly string[] => {
  if (ts.isIdentifier(node) || ts.isPrivateIdentifier(node)) {
    const propertyWords = ts.isIdentifier(node) && isPropertyName(node) ? ambiguous : [];
    return [
      ...unambiguous.filter((word) => containsWord(node.text, word, allowedTerms)),
      ...propertyWords.filter((word) => normalizeName(node.text) === word),
    ];
  }
  if (!isLiteral(node) || isModuleName(node)) return [];
  return [
    ...unambiguous.filter((word) => containsWord(node.text, word, allowedTerms)),
    ...ambiguous.filter((word) => node.text === word),
    ...paths.filter(
      (path) => node.text === path || node.text.startsWith(`${path}/`) || node.text.startsWith(`${path}?`),
    ),
  ];
};

/** Returns the wire words in a module, one entry per use. */
export const findWireWords = (
  path: string,
  text: string,
  vocabulary: WireVocabulary,
): readonly WireWord[] => {
  const module = parseModule(path, text);
  return [...nodesBelow(module)].flatMap((node) =>
    matchWords(node, vocabulary).map((word) => ({ word, line: lineOf(module, node.getStart(module)) })),
  );
};

/** Finds words of the wire in TypeScript sources, however a name is written. */
import ts from 'typescript';
import { lineOf, nodesBelow, parseModule } from './syntax.js';

/** A word of the wire and where it stands. */
export interface WireWord {
  readonly word: string;
  readonly line: number;
}

/**
 * Which words are looked for, each in lower case with blanks between its parts: `brandMark` is `brand mark`.
 */
export interface WireVocabulary {
  /** Words that have no other meaning in this project: found in any name and any literal. */
  readonly unambiguous: readonly string[];
  /** Words of ordinary English too: found as the name of a property, or as a whole literal. */
  readonly ambiguous: readonly string[];
  /** The field's terms that contain a word of the wire; they are passed over. */
  readonly allowedTerms: readonly string[];
  /** Paths of requests, found at the beginning of a literal. */
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
  { unambiguous: distinct, ambiguous: ordinary, allowedTerms: terms, paths }: WireVocabulary,
): readonly string[] => {
  if (ts.isIdentifier(node) || ts.isPrivateIdentifier(node)) {
    const whole = ts.isIdentifier(node) && isPropertyName(node) ? ordinary : [];
    return [
      ...distinct.filter((word) => containsWord(node.text, word, terms)),
      ...whole.filter((word) => normalizeName(node.text) === word),
    ];
  }
  if (!isLiteral(node) || isModuleName(node)) return [];
  return [
    ...distinct.filter((word) => containsWord(node.text, word, terms)),
    ...ordinary.filter((word) => node.text === word),
    ...paths.filter(
      (path) => node.text === path || node.text.startsWith(`${path}/`) || node.text.startsWith(`${path}?`),
    ),
  ];
};

/** The words of the wire in a module, once for each place. */
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

/** Parses TypeScript sources and finds declared names and comments in them. */
import ts from 'typescript';

/** Parses the text of a module. */
export const parseModule = (path: string, text: string): ts.SourceFile =>
  ts.createSourceFile(path, text, ts.ScriptTarget.ESNext, true);

/** Yields the node and all its descendants. */
export function* nodesBelow(node: ts.Node): Generator<ts.Node> {
  yield node;
  const children: ts.Node[] = [];
  ts.forEachChild(node, (child) => {
    children.push(child);
  });
  for (const child of children) yield* nodesBelow(child);
}

const isNamedDeclaration = (node: ts.Node): node is ts.NamedDeclaration =>
  ts.isVariableDeclaration(node) ||
  ts.isFunctionDeclaration(node) ||
  ts.isClassDeclaration(node) ||
  ts.isInterfaceDeclaration(node) ||
  ts.isTypeAliasDeclaration(node) ||
  ts.isEnumDeclaration(node) ||
  ts.isEnumMember(node) ||
  ts.isParameter(node) ||
  ts.isBindingElement(node) ||
  ts.isClassElement(node) ||
  ts.isTypeElement(node) ||
  ts.isObjectLiteralElement(node);

/** Returns the names that the module declares: of items, members, parameters and properties. */
export const declaredNames = (module: ts.SourceFile): ReadonlySet<string> => {
  const names = new Set<string>();
  for (const node of nodesBelow(module)) {
    if (!isNamedDeclaration(node) || node.name === undefined) continue;
    if (ts.isIdentifier(node.name) || ts.isStringLiteral(node.name)) names.add(node.name.text);
  }
  return names;
};

/** A comment, with the offset in the module's text at which the comment begins. */
export interface Comment {
  readonly start: number;
  readonly text: string;
}

function* tokensBelow(node: ts.Node, module: ts.SourceFile): Generator<ts.Node> {
  const children = node.getChildren(module);
  if (children.length === 0) yield node;
  for (const child of children) if (!ts.isJSDoc(child)) yield* tokensBelow(child, module);
}

/** Returns all comments of a module in the order of the text. */
export const commentsOf = (module: ts.SourceFile): readonly Comment[] => {
  const { text } = module;
  const found = new Map<number, Comment>();
  for (const token of tokensBelow(module, module)) {
    const start = token.getFullStart();
    const ranges = [
      ...(ts.getTrailingCommentRanges(text, start) ?? []),
      ...(ts.getLeadingCommentRanges(text, start) ?? []),
    ];
    for (const { pos, end } of ranges) found.set(pos, { start: pos, text: text.slice(pos, end) });
  }
  return [...found.values()].sort((a, b) => a.start - b.start);
};

/** Returns the line number of an offset in a module's text, counted from 1. */
export const lineOf = (module: ts.SourceFile, start: number): number =>
  module.getLineAndCharacterOfPosition(start).line + 1;

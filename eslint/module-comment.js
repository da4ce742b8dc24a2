/**
 * ESLint rule: a module begins with a doc comment that states its purpose. The comment is the first item in
 * the file, and a blank line, an import or a re-export follows it, so that it can't be mistaken for the doc
 * comment of the first declaration.
 */

const isImport = (token) =>
  token.value === 'import' && (token.type === 'Keyword' || token.type === 'Identifier');

/**
 * Returns whether the token begins a statement that re-exports from another module, as in a package's index.
 */
const beginsReExport = (program, token) =>
  program.body.some(
    (node) =>
      node.range[0] === token.range[0] &&
      (node.type === 'ExportAllDeclaration' ||
        (node.type === 'ExportNamedDeclaration' && node.source !== null)),
  );

export default {
  meta: {
    type: 'suggestion',
    docs: { description: 'require a doc comment on the module' },
    messages: {
      missing:
        'The module has no doc comment. Begin the file with one that states the purpose of the module.',
      belongsToItem:
        'The first doc comment belongs to the declaration below it. Add one for the module above it, and a blank line.',
      empty: 'The doc comment of the module is empty.',
    },
    schema: [],
  },
  create(context) {
    const { sourceCode } = context;
    return {
      Program(program) {
        const first = sourceCode.getFirstToken(program);
        const comment = sourceCode.getAllComments().find((candidate) => candidate.type !== 'Shebang');
        const beginsFile = comment && (first === null || comment.range[0] < first.range[0]);
        if (!beginsFile || comment.type !== 'Block' || !comment.value.startsWith('*')) {
          context.report({ loc: { line: 1, column: 0 }, messageId: 'missing' });
          return;
        }
        if (!/[a-z]/i.test(comment.value)) context.report({ loc: comment.loc, messageId: 'empty' });
        const next = sourceCode.getTokenAfter(comment, { includeComments: true });
        if (next === null || next.loc.start.line > comment.loc.end.line + 1) return;
        if (isImport(next) || beginsReExport(program, next)) return;
        context.report({ loc: comment.loc, messageId: 'belongsToItem' });
      },
    };
  },
};

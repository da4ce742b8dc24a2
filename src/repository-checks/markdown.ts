/** Extracts code spans and tables from the project's pages. */

const FENCED_BLOCK = /^(`{3,})[\s\S]*?^\1/gm;
const CODE_SPAN = /`([^`\n]+)`/g;
const UNESCAPED_PIPE = /(?<!\\)\|/;

/** Returns the texts in backticks, except in fenced blocks. */
export const codeSpans = (text: string): readonly string[] =>
  [...text.replace(FENCED_BLOCK, '').matchAll(CODE_SPAN)].map(([, span = '']) => span);

/** A table: the cells of its header, and the cells of the rows below the separator line. */
export interface Table {
  readonly header: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

const cellsOf = (line: string): readonly string[] =>
  line
    .trim()
    .split(UNESCAPED_PIPE)
    .slice(1, -1)
    .map((cell) => cell.trim());

/** Returns all tables of a page. */
export const tablesOf = (text: string): readonly Table[] => {
  const tables: Table[] = [];
  let lines: string[] = [];
  const close = (): void => {
    const [header, , ...rows] = lines;
    if (header !== undefined) tables.push({ header: cellsOf(header), rows: rows.map(cellsOf) });
    lines = [];
  };
  for (const line of text.split('\n')) {
    if (line.trimStart().startsWith('|')) lines.push(line);
    else close();
  }
  close();
  return tables;
};

/** Returns the cells of the column with this heading; empty if the table has no such column. */
export const columnOf = (table: Table, heading: string): readonly string[] => {
  const column = table.header.indexOf(heading);
  return column < 0 ? [] : table.rows.map((row) => row[column] ?? '');
};

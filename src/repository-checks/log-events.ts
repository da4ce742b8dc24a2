/** The events that a module logs, read from its source. */
import ts from 'typescript';
import { lineOf, nodesBelow, parseModule } from './syntax.js';

const LOG_LEVELS: ReadonlySet<string> = new Set(['debug', 'info', 'warn', 'error']);
const EVENT_PROPERTY = 'event';

/** One call of the log. */
export interface LoggedEvent {
  readonly level: string;
  readonly line: number;
  /** Null: the name is not written out. */
  readonly name: string | null;
  /** Names of the fields that are written out, the event aside. */
  readonly fields: readonly string[];
  /** More fields come from an object that is spread. */
  readonly hasSpread: boolean;
}

const levelOf = (node: ts.CallExpression): string | null =>
  ts.isPropertyAccessExpression(node.expression) &&
  ts.isIdentifier(node.expression.expression) &&
  node.expression.expression.text === 'log' &&
  LOG_LEVELS.has(node.expression.name.text)
    ? node.expression.name.text
    : null;

/** The texts that an expression may have; null among them where that can't be read. */
const possibleTexts = (expression: ts.Expression): readonly (string | null)[] => {
  if (ts.isStringLiteral(expression)) return [expression.text];
  if (ts.isConditionalExpression(expression))
    return [...possibleTexts(expression.whenTrue), ...possibleTexts(expression.whenFalse)];
  return [null];
};

const propertyNameOf = (property: ts.ObjectLiteralElementLike): string | null =>
  property.name !== undefined && ts.isIdentifier(property.name) ? property.name.text : null;

const eventNames = (properties: readonly ts.ObjectLiteralElementLike[]): readonly (string | null)[] => {
  const event = properties.find((property) => propertyNameOf(property) === EVENT_PROPERTY);
  return event !== undefined && ts.isPropertyAssignment(event) ? possibleTexts(event.initializer) : [null];
};

/** All events that a module logs. */
export const loggedEvents = (path: string, text: string): readonly LoggedEvent[] => {
  const module = parseModule(path, text);
  return [...nodesBelow(module)].flatMap((node): readonly LoggedEvent[] => {
    if (!ts.isCallExpression(node)) return [];
    const level = levelOf(node);
    if (level === null) return [];
    const [entry] = node.arguments;
    const properties = entry !== undefined && ts.isObjectLiteralExpression(entry) ? entry.properties : [];
    const fields = properties.map(propertyNameOf).filter((name) => name !== null && name !== EVENT_PROPERTY);
    return eventNames([...properties]).map((name) => ({
      level,
      line: lineOf(module, node.getStart(module)),
      name,
      fields: fields as readonly string[],
      spreads: properties.some((property) => ts.isSpreadAssignment(property)),
    }));
  });
};

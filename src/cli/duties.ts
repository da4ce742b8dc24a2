import * as http from 'node:http';
import { readDuties, type WireDutiesOverview, type WireDuty } from '../duties/admin-codec.js';
import { parseTarget } from '../http.js';

/** ms: wait for a controller's answer; it reads one value of the state service for it. */
const ANSWER_TIMEOUT_MS = 5_000;
/** Exit codes of the command. */
const EXIT_OK = 0;
const EXIT_FAILED = 1;

/** A controller's answer as text; null: there was none. */
interface TextAnswer {
  readonly status: number;
  readonly text: string;
}

const fetchText = (node: string, path: string): Promise<TextAnswer> =>
  new Promise((resolve, reject) => {
    const { host, port } = parseTarget(node);
    const request = http.get({ host, port, path, timeout: ANSWER_TIMEOUT_MS }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', reject);
      response.on('end', () => {
        resolve({ status: response.statusCode ?? 0, text: Buffer.concat(parts).toString('utf8') });
      });
    });
    request.on('timeout', () => request.destroy(new Error('no answer in time')));
    request.on('error', reject);
  });

const table = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};

/** A table, or a line in its place where it has only a head. */
const tableOr = (rows: readonly (readonly string[])[], empty: string): string =>
  rows.length > 1 ? table(rows) : empty;

const time = (ms: number | null): string => (ms === null ? '' : new Date(ms).toISOString());

const dutyRows = (duties: readonly WireDuty[]): readonly (readonly string[])[] => [
  ['DUTY', 'CLAIM', 'HOLDER', 'TOKEN', 'SINCE', 'HERE', 'OPEN', 'REFUSED'],
  ...duties.map((duty) => [
    duty.duty,
    duty.claim,
    duty.holder?.node ?? '(nobody)',
    String(duty.holder?.token ?? ''),
    time(duty.holder?.from ?? null),
    duty.state,
    String(duty.open),
    String(duty.refused.length),
  ]),
];

const historyRows = (duties: readonly WireDuty[]): readonly (readonly string[])[] => {
  const byToken = new Map(
    duties.flatMap(({ history }) => history).map((period) => [`${period.claim}/${period.token}`, period]),
  );
  return [
    ['CLAIM', 'HOLDER', 'TOKEN', 'FROM', 'TO', 'ENDED'],
    ...[...byToken.values()]
      .sort((a, b) => a.from - b.from)
      .map((period) => [
        period.claim,
        period.node,
        String(period.token),
        time(period.from),
        time(period.to),
        period.ended ?? '',
      ]),
  ];
};

const refusalRows = (duties: readonly WireDuty[]): readonly (readonly string[])[] => [
  ['REFUSED EFFECT', 'DUTY', 'CLAIM', 'TOKEN', 'AT', 'WHY'],
  ...duties
    .flatMap(({ refused }) => refused)
    .sort((a, b) => a.at - b.at)
    .map(({ effect, duty, claim, token, at, reason }) => [
      effect,
      duty,
      claim,
      String(token),
      time(at),
      reason,
    ]),
];

const intentLines = (view: Partial<WireDutiesOverview>): readonly string[] => {
  if (view.releaseIntents === undefined) return [];
  const rentals =
    view.openRentals == null
      ? ['open rental requests: not known, the state service does not answer this controller']
      : [`open rental requests: ${view.openRentals.length}`].concat(
          view.openRentals.map(
            ({ name, machineType, zone, shares: shardIds, at }) =>
              `  ${name}: ${shardIds.length} ${machineType} in ${zone}, announced ${time(at)}`,
          ),
        );
  const malformed = view.malformedIntents?.length ?? 0;
  return [
    ...rentals,
    ...(malformed > 0 ? [`malformed intents, kept aside and not acted on: ${malformed}`] : []),
    `machines to be released: ${view.releaseIntents.length}`,
    ...view.releaseIntents.map(
      ({ machine, share: shardId, reason, token }) =>
        `  ${machine} of share ${shardId}: ${reason ?? 'no reason given'}${token === null ? '' : `, under token ${token}`}`,
    ),
  ];
};

/** Prints the duties as one controller sees them; resolves to the exit code. */
export const printDuties = async (node: string, name: string | undefined, json: boolean): Promise<number> => {
  const path = `/admin/v1/duties${name === undefined ? '' : `/${encodeURIComponent(name)}`}`;
  let answer: TextAnswer;
  try {
    answer = await fetchText(node, path);
  } catch (error) {
    process.stderr.write(`duties: ${node} does not answer: ${(error as Error).message}; try another node\n`);
    return EXIT_FAILED;
  }
  if (answer.status !== 200) {
    process.stderr.write(`duties: ${node} answered ${answer.status}: ${answer.text}`);
    return EXIT_FAILED;
  }
  if (json) {
    process.stdout.write(answer.text);
    return EXIT_OK;
  }
  const view = readDuties(answer.text);
  const parts = [
    table(dutyRows(view.duties)),
    tableOr(historyRows(view.duties), 'no earlier holders seen'),
    tableOr(refusalRows(view.duties), 'nothing refused'),
  ];
  process.stdout.write(`${[...parts, ...intentLines(view)].join('\n\n')}\n`);
  return EXIT_OK;
};

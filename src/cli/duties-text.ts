/**
 * Formats the output of `dalegate duties`: duties, earlier holders, refused effects and open intents. Pure.
 */
import type {
  WireDuties,
  WireDutiesOverview,
  WireDuty,
  WireOpenRequest,
  WireReleaseIntent,
} from '../duties/admin-codec.js';

/** The cells of a table row. The first row of a table is its header. */
type Row = readonly string[];

const formatTable = (rows: readonly Row[]): string => {
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

/** Formats a table; returns `empty` if the table has only a header. */
const formatTableOrText = (rows: readonly Row[], empty: string): string =>
  rows.length > 1 ? formatTable(rows) : empty;

const formatTime = (ms: number | null): string => (ms === null ? '' : new Date(ms).toISOString());

const dutyRows = (duties: readonly WireDuty[]): readonly Row[] => [
  ['DUTY', 'CLAIM', 'HOLDER', 'TOKEN', 'SINCE', 'HERE', 'OPEN', 'REFUSED'],
  ...duties.map((duty) => [
    duty.duty,
    duty.claim,
    duty.holder?.node ?? '(nobody)',
    String(duty.holder?.token ?? ''),
    formatTime(duty.holder?.from ?? null),
    duty.state,
    String(duty.open),
    String(duty.refused.length),
  ]),
];

const historyRows = (duties: readonly WireDuty[]): readonly Row[] => {
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
        formatTime(period.from),
        formatTime(period.to),
        period.ended ?? '',
      ]),
  ];
};

const refusalRows = (duties: readonly WireDuty[]): readonly Row[] => [
  ['REFUSED EFFECT', 'DUTY', 'CLAIM', 'TOKEN', 'AT', 'WHY'],
  ...duties
    .flatMap(({ refused }) => refused)
    .sort((a, b) => a.at - b.at)
    .map(({ effect, duty, claim, token, at, reason }) => [
      effect,
      duty,
      claim,
      String(token),
      formatTime(at),
      reason,
    ]),
];

const formatOpenRequest = ({ name, machineType, zone, shares, at }: WireOpenRequest): string =>
  `  ${name}: ${shares.length} ${machineType} in ${zone}, announced ${formatTime(at)}`;

const formatReleaseIntent = ({ machine, share, reason, token }: WireReleaseIntent): string => {
  const underToken = token === null ? '' : `, under token ${token}`;
  return `  ${machine} of share ${share}: ${reason ?? 'no reason given'}${underToken}`;
};

const openRequestLines = (openRequests: readonly WireOpenRequest[] | null): readonly string[] =>
  openRequests === null
    ? ['open rental requests: not known, the state service does not answer this controller']
    : [`open rental requests: ${openRequests.length}`, ...openRequests.map(formatOpenRequest)];

const intentLines = (answer: Partial<WireDutiesOverview>): readonly string[] => {
  const { releaseIntents } = answer;
  if (releaseIntents === undefined) return [];
  const malformed = answer.malformedIntents?.length ?? 0;
  return [
    ...openRequestLines(answer.openRentals ?? null),
    ...(malformed > 0 ? [`malformed intents, kept aside and not acted on: ${malformed}`] : []),
    `machines to be released: ${releaseIntents.length}`,
    ...releaseIntents.map(formatReleaseIntent),
  ];
};

/** Formats the response about one duty or all duties. Only the response about all duties has intents. */
export const formatDuties = (answer: WireDuties & Partial<WireDutiesOverview>): string => {
  const parts = [
    formatTable(dutyRows(answer.duties)),
    formatTableOrText(historyRows(answer.duties), 'no earlier holders seen'),
    formatTableOrText(refusalRows(answer.duties), 'nothing refused'),
    ...intentLines(answer),
  ];
  return `${parts.join('\n\n')}\n`;
};

/**
 * What a change of the leader costs: three controllers on loopback, the leader stopped by SIGSTOP with a
 * rental under way, again and again. `node target/testing/takeover.js [times] [on|off]` after a build and a
 * bundle; prints how long it takes until another leads, may rent, and has settled what was left open. Figures
 * are of the machine that runs it.
 */
import { LeaderScenario } from './leader-scenario.js';

const [timesText, featureText] = process.argv.slice(2);
const TIMES = Number(timesText ?? 5);
const FEATURES = `fencing = ${featureText === 'off' ? 'false' : 'true'}\n`;

interface Takeover {
  /** ms from the stop until the state service shows another leader. */
  readonly claimedMs: number;
  /** ms from then until the cloud heard from that leader about machines. */
  readonly firstActionMs: number;
  /** Writes of the book of rental requests in the whole run. */
  readonly intentWrites: number;
  readonly provisioningRequests: number;
  readonly lateActions: number;
}

const measureTakeover = async (): Promise<Takeover> => {
  let result: Takeover | null = null;
  await LeaderScenario.run({ features: FEATURES, cloudRps: 4 }, async (scenario) => {
    const { deployment } = scenario;
    const old = await deployment.waitUntilReady();
    await scenario.waitUntilDutyHeld(old.node);
    const held = deployment.hold(
      'request',
      ({ node, call }) => node === old.node && call.path === '/machines' && call.method === 'POST',
    );
    await scenario.submit(1);
    await deployment.waitUntil('a rental under way', () => held.count() > 0);
    const stoppedAt = performance.now();
    deployment.suspend(old.node);
    const next = await scenario.waitForSuccessor(old.node);
    const firstAction = await deployment.waitUntil('its first rental', () => {
      const first = deployment.cloud.actions.find(({ node }) => node === next.node);
      return first ?? null;
    });
    deployment.resume(old.node);
    held.release();
    await scenario.waitForLateEffects();
    result = {
      claimedMs: next.from - stoppedAt,
      firstActionMs: firstAction.at - next.from,
      intentWrites: scenario.intentWrites,
      provisioningRequests: deployment.cloud.actions.filter(({ kind }) => kind === 'rent').length,
      lateActions: scenario.lateActions().length,
    };
  });
  if (result === null) throw new Error('the scenario gave no result');
  return result;
};

const medianAndRange = (values: readonly number[]): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return `${median.toFixed(0)} (${(sorted[0] ?? 0).toFixed(0)} to ${(sorted.at(-1) ?? 0).toFixed(0)})`;
};

const results: Takeover[] = [];
for (let n = 0; n < TIMES; n += 1) results.push(await measureTakeover());
console.log(`${TIMES} changes of leader, ${FEATURES.trim()}; median (least to most)`);
console.log(`until another leads: ${medianAndRange(results.map(({ claimedMs }) => claimedMs))} ms`);
console.log(
  `from then to its first rental: ${medianAndRange(results.map(({ firstActionMs: actedMs }) => actedMs))} ms`,
);
console.log(
  `writes of rental intents in a run: ${medianAndRange(results.map(({ intentWrites }) => intentWrites))}`,
);
console.log(
  `rental requests in a run: ${medianAndRange(results.map(({ provisioningRequests: rentals }) => rentals))}`,
);
console.log(`late actions: ${results.reduce((sum, { lateActions }) => sum + lateActions, 0)}`);

/**
 * Measures the cost of a change of the leader: three controllers run on loopback, and the leader is suspended
 * by SIGSTOP while a provisioning request is in flight, several times in turn.
 * `node target/testing/takeover.js [times] [on|off]` after a build and a bundle (on: fencing); prints
 * the time until another node is the leader, and the time until that node, which first settles the open
 * requests of its predecessor, sends its first request. Figures depend on the machine that runs it.
 */
import { LeaderScenario } from './leader-scenario.js';

const [timesText, featureText] = process.argv.slice(2);
const TIMES = Number(timesText ?? 5);
const FEATURES = `fencing = ${featureText === 'off' ? 'false' : 'true'}\n`;

interface Takeover {
  /** ms from the suspension until the key-value store shows another leader. */
  readonly claimedMs: number;
  /** ms from then until the cloud receives that leader's first request to provision or release machines. */
  readonly firstActionMs: number;
  /** Number of writes of the provisioning record in the whole run. */
  readonly intentWrites: number;
  /** Number of provisioning requests in the whole run. */
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
    await deployment.waitUntil('a provisioning request in flight', () => held.count() > 0);
    const stoppedAt = performance.now();
    deployment.suspend(old.node);
    const next = await scenario.waitForSuccessor(old.node);
    const firstAction = await deployment.waitUntil("the successor's first request to the cloud", () => {
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
  if (result === null) throw new Error('the scenario ended without a result');
  return result;
};

const medianAndRange = (values: readonly number[]): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return `${median.toFixed(0)} (${(sorted[0] ?? 0).toFixed(0)} to ${(sorted.at(-1) ?? 0).toFixed(0)})`;
};

const results: Takeover[] = [];
for (let n = 0; n < TIMES; n += 1) results.push(await measureTakeover());
console.log(`${TIMES} changes of the leader, ${FEATURES.trim()}; median (least to most)`);
console.log(`until another node leads: ${medianAndRange(results.map(({ claimedMs }) => claimedMs))} ms`);
console.log(
  `from then to its first request to the cloud: ${medianAndRange(results.map(({ firstActionMs }) => firstActionMs))} ms`,
);
console.log(
  `writes of the provisioning record in a run: ${medianAndRange(results.map(({ intentWrites }) => intentWrites))}`,
);
console.log(
  `provisioning requests in a run: ${medianAndRange(results.map(({ provisioningRequests }) => provisioningRequests))}`,
);
console.log(`late actions: ${results.reduce((sum, { lateActions }) => sum + lateActions, 0)}`);

/** A deployment of real processes on loopback whose leader is suspended and replaced. */
import type { WireDuty } from '../duties/admin-codec.js';
import { PROVISIONING_KEY } from '../kv-store/keys.js';
import { submission } from './bodies.js';
import { findLateActions, type LateAction, type LeadershipTerm } from './late-actions.js';
import { Loopback, type LoopbackOptions } from './loopback.js';

/** Wait of {@link LeaderScenario.waitForLateEffects} in ms. */
const LATE_EFFECTS_WAIT_MS = 2_500;

/** A gang of one task that needs a whole machine. */
const wholeMachineJob = (n: number): object =>
  submission({
    uid: `job-${String(n).padStart(6, '0')}`,
    owner: 't',
    shape: 'group',
    heads: 1,
    vcpus: 57,
    accelerators: 8,
    memoryGb: 300,
    agistment: false,
    expectedS: 60,
  });

/** A deployment with the history of its leaders and of the machines whose release was requested. */
export class LeaderScenario {
  readonly leadershipTerms: LeadershipTerm[] = [];
  /** Number of writes of the provisioning record. */
  intentWrites = 0;
  private readonly releaseRequestedAt = new Map<string, number>();

  private constructor(
    readonly deployment: Loopback,
    /** Whether fencing is on; then a late action is a failure, and the timeline is printed to diagnose it. */
    private readonly isFenced: boolean,
  ) {
    deployment.state.onPut = (key, value, version) => {
      const at = performance.now();
      if (key.startsWith('w/c/'))
        deployment.timeline.record('store', `claim ${key} of ${(value as { n: string }).n} at ${version}`);
      if (key === 'w/c/L')
        this.leadershipTerms.push({ node: (value as { n: string }).n, token: version, from: at });
      if (key === PROVISIONING_KEY) this.intentWrites += 1;
      if (key.startsWith('w/m/') && (value as { r: boolean }).r)
        this.releaseRequestedAt.set(key.slice(4), at);
    };
  }

  static async run(
    options: LoopbackOptions,
    steps: (scenario: LeaderScenario) => Promise<void>,
  ): Promise<void> {
    const isFenced = options.features.includes('fencing = true');
    const scenario = new LeaderScenario(await Loopback.start(options), isFenced);
    try {
      await steps(scenario);
    } catch (error) {
      scenario.printTimeline(null);
      throw error;
    } finally {
      await scenario.deployment.stop();
    }
  }

  /** Submits a job to the nodes in turn until one of them accepts the job. */
  async submit(n: number): Promise<void> {
    await this.deployment.waitUntil('a job to be accepted', async () => {
      for (const node of Loopback.nodes) {
        const answer = await this.deployment.request(node, 'POST', '/v2/runs', wholeMachineJob(n));
        if (answer._tag === 'response' && answer.status < 300) return true;
      }
      return false;
    });
  }

  /** Waits until a node other than `old` holds the leadership; returns its term. */
  async waitForSuccessor(old: string): Promise<LeadershipTerm> {
    return this.deployment.waitUntil('a successor', () => {
      const last = this.leadershipTerms.at(-1);
      return last && last.node !== old ? last : null;
    });
  }

  /** The controller's view of the provisioning duty, with its state and its number of open requests. */
  private async provisioningDuty(node: string): Promise<WireDuty | null> {
    const answer = await fetch(`http://${this.deployment.address(node)}/admin/v1/duties/rent`);
    const view = (await answer.json()) as { duties?: WireDuty[] };
    return view.duties?.[0] ?? null;
  }

  /** Waits until the node may provision machines: the open requests of an earlier leader are settled. */
  async waitUntilDutyHeld(node: string): Promise<void> {
    await this.deployment.waitUntil(
      'the duty to be held',
      async () => (await this.provisioningDuty(node))?.state === 'held',
    );
  }

  /** Waits until the node has an open provisioning request, which is in flight or queued. */
  async waitUntilProvisioningDecided(node: string): Promise<void> {
    await this.deployment.waitUntil(
      'a provisioning request to be opened',
      async () => ((await this.provisioningDuty(node))?.open ?? 0) > 0,
    );
  }

  private printTimeline(around: number | null): void {
    process.stderr.write(`${this.deployment.renderTimeline(around)}\n`);
  }

  lateActions(): readonly LateAction[] {
    const found = this.findLateActions();
    const [first] = found;
    if (first && this.isFenced) this.printTimeline(first.action.at);
    return found;
  }

  private findLateActions(): readonly LateAction[] {
    return findLateActions(
      this.deployment.cloud.actions,
      this.leadershipTerms,
      (machine, at) => (this.releaseRequestedAt.get(machine) ?? Number.POSITIVE_INFINITY) <= at,
    );
  }

  /** Waits long enough for a resumed process to complete its pending requests. */
  async waitForLateEffects(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, LATE_EFFECTS_WAIT_MS));
  }
}

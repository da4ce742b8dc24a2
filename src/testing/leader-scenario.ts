import type { WireDuty } from '../duties/admin-codec.js';
import { PROVISIONING_KEY } from '../kv-store/keys.js';
import { submission } from './bodies.js';
import { findLateActions, type LateAction, type LeadershipTerm } from './late-actions.js';
import { Loopback, type LoopbackOptions } from './loopback.js';

/** ms: see {@link LeaderScenario.waitForLateEffects}. */
const LATE_EFFECTS_WAIT_MS = 2_500;

/** A gang of one task that takes a whole machine. */
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

/** A deployment with the history of its leaders and of the machines whose release was asked for. */
export class LeaderScenario {
  readonly leadershipTerms: LeadershipTerm[] = [];
  /** Writes of the book of rental requests. */
  intentWrites = 0;
  private readonly releaseRequestedAt = new Map<string, number>();

  private constructor(
    readonly deployment: Loopback,
    /** Fencing is on: a late action is a failure, which its reader has to trace. */
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
    scene: (scenario: LeaderScenario) => Promise<void>,
  ): Promise<void> {
    const isFenced = options.features.includes('fencing = true');
    const scenario = new LeaderScenario(await Loopback.start(options), isFenced);
    try {
      await scene(scenario);
    } catch (error) {
      scenario.printTimeline(null);
      throw error;
    } finally {
      await scenario.deployment.stop();
    }
  }

  /** A job is accepted by the first node that takes it. */
  async submit(n: number): Promise<void> {
    await this.deployment.waitUntil('a job to be accepted', async () => {
      for (const node of Loopback.nodes) {
        const answer = await this.deployment.request(node, 'POST', '/v2/runs', wholeMachineJob(n));
        if (answer._tag === 'response' && answer.status < 300) return true;
      }
      return false;
    });
  }

  /** Another node leads now, and the duty of renting is settled there. */
  async waitForSuccessor(old: string): Promise<LeadershipTerm> {
    return this.deployment.waitUntil('a successor', () => {
      const last = this.leadershipTerms.at(-1);
      return last && last.node !== old ? last : null;
    });
  }

  /** The state of renting, as a controller tells it, and how many requests are under way there. */
  private async provisioningDuty(node: string): Promise<WireDuty | null> {
    const answer = await fetch(`http://${this.deployment.address(node)}/admin/v1/duties/rent`);
    const view = (await answer.json()) as { duties?: WireDuty[] };
    return view.duties?.[0] ?? null;
  }

  /** The node may rent: what an earlier leader left open is settled. */
  async waitUntilDutyHeld(node: string): Promise<void> {
    await this.deployment.waitUntil(
      'the duty to be held',
      async () => (await this.provisioningDuty(node))?.state === 'held',
    );
  }

  /** The node has decided to rent, and its request is under way or waits. */
  async waitUntilProvisioningDecided(node: string): Promise<void> {
    await this.deployment.waitUntil(
      'a rental to be decided',
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

  /** Time in which a resumed process does whatever it is still going to do. */
  async waitForLateEffects(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, LATE_EFFECTS_WAIT_MS));
  }
}

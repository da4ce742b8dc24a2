/**
 * Stand-in for the cloud, written to the published protocol, that logs every request which may have an
 * effect.
 */
import type { CallOutcome } from '../http/model.js';
import { reply } from './key-value-store-stand-in.js';

/** A rental or release as it reached the cloud. */
export interface CloudAction {
  readonly kind: 'rent' | 'release';
  readonly node: string;
  /** The name of a rental request. */
  readonly name: string | null;
  /** Machines that were rented or that ended by this very request; none: it changed nothing. */
  readonly machines: readonly string[];
  /** ms, steady. */
  readonly at: number;
}

interface Machine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly from: number;
}

interface ProvisionRequestBody {
  readonly hire: string;
  readonly breed: string;
  readonly paddock: string;
  readonly agistment: boolean;
  readonly howMany: number;
}

/** One type of machine, in one zone. */
export const CATALOG = {
  breeds: [
    {
      sku: 'g',
      vcpus: 64,
      accelerators: 8,
      memoryGb: 384,
      localGb: 80,
      pullGbPerS: 1,
      hourly: 8,
      marketPrice: 2,
      readyS: 40,
      paddocks: ['x'],
    },
  ],
};

/** The cloud. Machines never boot here: what is rented, and by whom, is all that matters. */
export class CloudStandIn {
  readonly actions: CloudAction[] = [];
  readonly machines = new Map<string, Machine>();
  /** Requests for anything, by node. */
  readonly requests: { readonly node: string; readonly path: string; readonly at: number }[] = [];
  private readonly answersByRequestName = new Map<string, CallOutcome>();
  private sequence = 0;

  handle(node: string, method: string, path: string, body: unknown): CallOutcome {
    const route = path.split('?', 1)[0] ?? path;
    const at = performance.now();
    this.requests.push({ node, path: `${method} ${route}`, at });
    if (route === '/catalog') return reply(200, CATALOG);
    if (route === '/machines' && method === 'GET') return this.list();
    if (route === '/machines') return this.provision(node, body as ProvisionRequestBody, at);
    if (route === '/machines/release') return this.release(node, body as { drovers: string[] }, at);
    return reply(404);
  }

  /** Has a machine up that nobody asked for here. */
  addMachine(id: string): void {
    this.machines.set(id, { id, type: 'g', zone: 'x', spot: false, from: performance.now() });
  }

  private list(): CallOutcome {
    const drovers = [...this.machines.values()].map(({ id, type, zone, spot, from }) => ({
      uid: id,
      addr: '127.0.0.1:9',
      breed: type,
      paddock: zone,
      agistment: spot,
      status: 'starting',
      ageS: (performance.now() - from) / 1_000,
    }));
    return reply(200, { drovers, more: false });
  }

  private provision(node: string, body: ProvisionRequestBody, at: number): CallOutcome {
    const before = this.answersByRequestName.get(body.hire);
    const made = before
      ? []
      : Array.from({ length: body.howMany }, () => {
          this.sequence += 1;
          return `i-${String(this.sequence).padStart(6, '0')}`;
        });
    for (const id of made)
      this.machines.set(id, { id, type: body.breed, zone: body.paddock, spot: body.agistment, from: at });
    this.actions.push({ kind: 'rent', node, name: body.hire, machines: made, at });
    const answer = before ?? reply(200, { drovers: made });
    this.answersByRequestName.set(body.hire, answer);
    return answer;
  }

  private release(node: string, { drovers }: { drovers: string[] }, at: number): CallOutcome {
    const ended = drovers.filter((id) => this.machines.delete(id));
    this.actions.push({ kind: 'release', node, name: null, machines: ended, at });
    return reply(200);
  }
}

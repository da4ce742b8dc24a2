import * as Effect from 'effect/Effect';
import { BEAT_FRESH_MS, BEAT_MS, MESH_TIMEOUT_MS, SOCKETS_MESH } from '../constants.js';
import type { Sibling } from '../claims/decide.js';
import type { Summary } from '../fleet/records.js';
import { parseTarget, type Call, type Caller, type Callers, type Reply } from '../http.js';

/** What the service's own processes say to each other: MessagePack over HTTP, on the mesh address. */
export interface Beat {
  readonly from: string;
  readonly incarnation: string;
  readonly lease: number | null;
  /** ms since the state service last answered this node. */
  readonly stateAgeMs: number;
  readonly summaries: readonly Summary[];
  readonly deaf: boolean;
  /** Machines that lately reported here although another node holds their share: by share. */
  readonly strays: Readonly<Record<string, number>>;
}

interface Known {
  beat: Beat;
  at: number;
  steadySince: number;
}

export interface MeshInput {
  readonly me: string;
  readonly siblings: readonly { readonly host_name: string; readonly endpoint: string }[];
  readonly beat: () => Beat;
  readonly now: () => number;
  readonly callers: Callers;
  /** Answers a sibling's request that is not a beat. */
  readonly answer: (path: string, body: unknown) => Promise<unknown>;
}

export class Mesh {
  private readonly clients = new Map<string, Caller>();
  private readonly known = new Map<string, Known>();
  private wake: (() => void) | null = null;

  constructor(private readonly input: MeshInput) {
    for (const sibling of input.siblings) {
      this.clients.set(sibling.host_name, input.callers(parseTarget(sibling.endpoint), SOCKETS_MESH));
    }
  }

  private note(value: unknown): void {
    const beat = value as Beat;
    if (typeof beat?.from !== 'string' || !this.clients.has(beat.from)) return;
    const now = this.input.now();
    const before = this.known.get(beat.from);
    const steady =
      before !== undefined &&
      before.beat.incarnation === beat.incarnation &&
      now - before.at < BEAT_FRESH_MS * 2;
    this.known.set(beat.from, { beat, at: now, steadySince: steady ? before.steadySince : now });
  }

  fresh(node: string): Beat | null {
    const known = this.known.get(node);
    return known && this.input.now() - known.at < BEAT_FRESH_MS ? known.beat : null;
  }

  siblings(): readonly Sibling[] {
    const now = this.input.now();
    return [...this.known].map(([node, known]) => ({
      node,
      incarnation: known.beat.incarnation,
      lease: known.beat.lease,
      steadyMs: now - known.at < BEAT_FRESH_MS ? now - known.steadySince : -1,
      stateOk: known.beat.stateAgeMs < BEAT_FRESH_MS,
      deaf: known.beat.deaf,
    }));
  }

  /** Siblings that say, freshly, that they can't reach the state service; and those that can. */
  stateWord(): { readonly down: number; readonly up: number } {
    let down = 0;
    let up = 0;
    for (const node of this.clients.keys()) {
      const beat = this.fresh(node);
      if (!beat) continue;
      if (beat.stateAgeMs < BEAT_FRESH_MS) up += 1;
      else down += 1;
    }
    return { down, up };
  }

  summaries(): readonly Summary[] {
    return [...this.clients.keys()].flatMap((node) => this.fresh(node)?.summaries ?? []);
  }

  strays(share: string): { readonly node: string; readonly count: number } | null {
    let best: { node: string; count: number } | null = null;
    for (const node of this.clients.keys()) {
      const count = this.fresh(node)?.strays[share] ?? 0;
      if (count > (best?.count ?? 0)) best = { node, count };
    }
    return best;
  }

  async ask(node: string, path: string, body: unknown, timeoutMs = MESH_TIMEOUT_MS): Promise<unknown> {
    const answer = await this.clients.get(node)?.request('POST', path, body, timeoutMs);
    return answer?._tag === 'answer' && answer.status === 200 ? answer.body : null;
  }

  async handle(call: Call): Promise<Reply> {
    const body = call.body._tag === 'value' ? call.body.value : null;
    if (call.path === '/beat') {
      this.note(body);
      return { status: 200, body: this.input.beat() };
    }
    const result = await this.input.answer(call.path, body);
    return result === null ? { status: 404 } : { status: 200, body: result };
  }

  /** Sends a beat soon, since something changed. */
  hurry(): void {
    this.wake?.();
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, BEAT_MS);
      this.wake = () => {
        this.wake = null;
        clearTimeout(timer);
        setTimeout(resolve, 50);
      };
    });
  }

  private beatTo(node: string): Effect.Effect<never> {
    return Effect.promise(async () => {
      this.note(await this.ask(node, '/beat', this.input.beat()));
    }).pipe(Effect.andThen(Effect.promise(() => this.pause())), Effect.forever);
  }

  get run(): Effect.Effect<unknown> {
    return Effect.all(
      [...this.clients.keys()].map((node) => this.beatTo(node)),
      { concurrency: 'unbounded' },
    );
  }
}

import { CLOUD_RETRY_DELAY_MS, MAX_NO_CAPACITY_PAUSE_MS, NO_CAPACITY_PAUSE_MS } from '../constants/fleet.js';

/** Kinds of machines that the cloud lately refused, and until when they are not asked for again. */
export class CapacityRefusals {
  private readonly until = new Map<string, { readonly at: number; readonly spanMs: number }>();

  constructor(private readonly now: () => number) {}

  /** There was none, or fewer than asked for: repeated refusals double the pause. */
  refused(kind: string): void {
    const before = this.until.get(kind);
    const spanMs = Math.min(MAX_NO_CAPACITY_PAUSE_MS, before ? before.spanMs * 2 : NO_CAPACITY_PAUSE_MS);
    this.until.set(kind, { at: this.now() + spanMs, spanMs });
  }

  /** The call failed, which says nothing about capacity. */
  failed(kind: string): void {
    this.until.set(kind, { at: this.now() + CLOUD_RETRY_DELAY_MS, spanMs: NO_CAPACITY_PAUSE_MS / 2 });
  }

  /** There is some, or some was given back. */
  lift(kind: string): void {
    this.until.delete(kind);
  }

  isRefused(kind: string): boolean {
    return (this.until.get(kind)?.at ?? 0) > this.now();
  }
}

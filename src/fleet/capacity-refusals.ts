/**
 * Kinds of machines that are not asked for at the moment because the cloud refused them. Scale-out and
 * scale-in record what they learn; the scaling plan leaves refused kinds out.
 */
import {
  CLOUD_RETRY_DELAY_MS,
  MAX_NO_CAPACITY_BACKOFF_MS,
  NO_CAPACITY_BACKOFF_MS,
} from '../constants/fleet.js';

/** A pause, in ms; `at` is its end by the steady clock. */
interface Pause {
  readonly at: number;
  readonly spanMs: number;
}

/** State: the refused kinds, and until when they are not asked for. */
export class CapacityRefusals {
  private readonly until = new Map<string, Pause>();

  constructor(private readonly now: () => number) {}

  /** There was no capacity, or less than asked for: repeated refusals double the pause. */
  recordRefusal(kind: string): void {
    const before = this.until.get(kind);
    const spanMs = Math.min(MAX_NO_CAPACITY_BACKOFF_MS, before ? before.spanMs * 2 : NO_CAPACITY_BACKOFF_MS);
    this.until.set(kind, { at: this.now() + spanMs, spanMs });
  }

  /** The call failed, which says nothing about capacity. */
  recordFailure(kind: string): void {
    this.until.set(kind, { at: this.now() + CLOUD_RETRY_DELAY_MS, spanMs: NO_CAPACITY_BACKOFF_MS / 2 });
  }

  /** There is capacity, or some was released. */
  clear(kind: string): void {
    this.until.delete(kind);
  }

  isRefused(kind: string): boolean {
    return (this.until.get(kind)?.at ?? 0) > this.now();
  }
}

/**
 * Machine kinds that are not requested for a while because the cloud refused them. Scale-out records
 * refusals, scale-out and scale-in clear them; the scaling plan leaves refused kinds out.
 */
import {
  CLOUD_RETRY_DELAY_MS,
  MAX_NO_CAPACITY_BACKOFF_MS,
  NO_CAPACITY_BACKOFF_MS,
} from '../constants/fleet.js';

/** A period in which a machine kind is not requested. */
interface Pause {
  /** End of the pause, in ms on the steady clock. */
  readonly at: number;
  /**
   * If the cloud refuses the kind again, the next pause lasts twice this time, at most
   * `MAX_NO_CAPACITY_BACKOFF_MS`. In ms.
   */
  readonly durationMs: number;
}

/** State: the refused kinds, and until when they are not requested. */
export class CapacityRefusals {
  private readonly pauses = new Map<string, Pause>();

  constructor(private readonly now: () => number) {}

  /** Records that the cloud had less capacity than requested, or none. Repeated refusals double the pause. */
  recordRefusal(kind: string): void {
    const previous = this.pauses.get(kind);
    const durationMs = Math.min(
      MAX_NO_CAPACITY_BACKOFF_MS,
      previous ? previous.durationMs * 2 : NO_CAPACITY_BACKOFF_MS,
    );
    this.pauses.set(kind, { at: this.now() + durationMs, durationMs });
  }

  /** Records that a request failed, which indicates nothing about capacity: the pause is short. */
  recordFailure(kind: string): void {
    this.pauses.set(kind, { at: this.now() + CLOUD_RETRY_DELAY_MS, durationMs: NO_CAPACITY_BACKOFF_MS / 2 });
  }

  /** Ends the pause, because the cloud had capacity or machines of the kind were released. */
  clear(kind: string): void {
    this.pauses.delete(kind);
  }

  isRefused(kind: string): boolean {
    return (this.pauses.get(kind)?.at ?? 0) > this.now();
  }
}

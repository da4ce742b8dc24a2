import type { MachineRecord } from './records.js';
import { ShardMachineCounts } from './machine-index.js';

/** Machines that reported, or were listed, without a record: each waits here until its record is written. */
export class AdoptionQueue {
  private readonly waiting = new Map<string, MachineRecord>();
  /** What the shares will have once all that wait are recorded. */
  readonly counts = new ShardMachineCounts();

  has(id: string): boolean {
    return this.waiting.has(id);
  }

  add(id: string, record: MachineRecord): void {
    this.remove(id);
    this.waiting.set(id, record);
    this.counts.add(record, 1);
  }

  /** Takes out the first few. */
  take(most: number): readonly (readonly [string, MachineRecord])[] {
    const batch: (readonly [string, MachineRecord])[] = [];
    for (const entry of this.waiting) {
      if (batch.length >= most) break;
      batch.push(entry);
    }
    for (const [id] of batch) this.remove(id);
    return batch;
  }

  /** Shares that machines in the queue are meant for. */
  shardIds(): ReadonlySet<number> {
    return new Set([...this.waiting.values()].map((record) => record.shardId));
  }

  clear(): void {
    this.waiting.clear();
    this.counts.clear();
  }

  private remove(id: string): void {
    const record = this.waiting.get(id);
    if (!record) return;
    this.waiting.delete(id);
    this.counts.add(record, -1);
  }
}

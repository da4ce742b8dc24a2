/**
 * Machines that reported, were listed, or were provisioned without a record: each waits here until its record
 * is written. Scale-out and the adopter add to the queue, the adopter empties it.
 */
import { ShardMachineCounts } from './machine-index.js';
import type { MachineRecord, NewMachine } from './machine-record.js';

/** State: the machines that wait, with the records that they are to have. */
export class AdoptionQueue {
  private readonly waiting = new Map<string, MachineRecord>();
  /** What the shards will have once all that wait are recorded. */
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
  take(limit: number): readonly NewMachine[] {
    const batch: NewMachine[] = [];
    for (const [id, record] of this.waiting) {
      if (batch.length >= limit) break;
      batch.push({ id, record });
    }
    for (const { id } of batch) this.remove(id);
    return batch;
  }

  /** Shards that machines in the queue are meant for. */
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

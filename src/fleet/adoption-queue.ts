/**
 * Machines without a record: their workers send heartbeats, the cloud lists them, or scale-out could not
 * record them. Each machine waits here until the adopter writes its record. Scale-out and the adopter add to
 * the queue.
 */
import { ShardMachineCounts } from './machine-index.js';
import type { MachineRecord, NewMachine } from './machine-record.js';

/** State: the machines in the queue, with the records to write for them. */
export class AdoptionQueue {
  private readonly waiting = new Map<string, MachineRecord>();
  /** Counts of the machines in the queue by the shard to which they will belong. */
  readonly counts = new ShardMachineCounts();

  has(id: string): boolean {
    return this.waiting.has(id);
  }

  add(id: string, record: MachineRecord): void {
    this.remove(id);
    this.waiting.set(id, record);
    this.counts.add(record, 1);
  }

  /** Removes and returns the first machines, at most `limit`. */
  take(limit: number): readonly NewMachine[] {
    const batch: NewMachine[] = [];
    for (const [id, record] of this.waiting) {
      if (batch.length >= limit) break;
      batch.push({ id, record });
    }
    for (const { id } of batch) this.remove(id);
    return batch;
  }

  /** Shards to which machines in the queue will belong. */
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

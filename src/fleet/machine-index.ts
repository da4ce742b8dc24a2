/**
 * Indexes of all machine records for the queries of the leader. Each event of the watch cache updates them
 * incrementally: iterating over thousands of machines several times per second would take a large part of a
 * small CPU core.
 */
import { SAME_ZONE_WEIGHT } from '../constants/fleet.js';
import type { WatchEvent } from '../kv-store/model.js';
import { parseSharedKey } from '../kv-store/keys.js';
import { readMachineRecord } from './machine-record-codec.js';
import { kindKey, type MachineRecord } from './machine-record.js';

/** State: the number of machines of each kind in each shard. */
export class ShardMachineCounts {
  private readonly counts = new Map<string, number>();

  add(record: MachineRecord, change: 1 | -1): void {
    const { shardId, type, zone, spot } = record;
    for (const key of [`${shardId}|${type}|${spot}`, `${shardId}|${kindKey(type, zone, spot)}`])
      this.counts.set(key, (this.counts.get(key) ?? 0) + change);
  }

  /** Number of the shard's machines of this type and market; a machine in the zone has a larger weight. */
  weight(shardId: number, type: string, zone: string, spot: boolean): number {
    const all = this.counts.get(`${shardId}|${type}|${spot}`) ?? 0;
    const inZone = this.counts.get(`${shardId}|${kindKey(type, zone, spot)}`) ?? 0;
    return all + inZone * SAME_ZONE_WEIGHT;
  }

  clear(): void {
    this.counts.clear();
  }
}

/** State: the machine records in the watch cache, and counts of them. */
export class MachineIndex {
  private readonly records = new Map<string, MachineRecord>();
  private readonly countsByKind = new Map<string, number>();
  readonly shards = new ShardMachineCounts();
  /** Machines whose release the holders of their shards have requested. */
  readonly releasing = new Set<string>();

  onEvent(event: WatchEvent): void {
    const key = parseSharedKey(event._tag === 'put' ? event.entry.key : event.key);
    if (key._tag !== 'machine') return;
    const id = key.machine;
    const previous = this.records.get(id);
    if (previous) this.count(id, previous, -1);
    this.records.delete(id);
    if (event._tag !== 'put') return;
    const record = readMachineRecord(event.entry.value);
    this.records.set(id, record);
    this.count(id, record, 1);
  }

  private count(id: string, record: MachineRecord, change: 1 | -1): void {
    const { type, zone, spot, releasing } = record;
    this.shards.add(record, change);
    if (releasing && change === 1) this.releasing.add(id);
    else this.releasing.delete(id);
    if (releasing) return;
    const kind = kindKey(type, zone, spot);
    this.countsByKind.set(kind, (this.countsByKind.get(kind) ?? 0) + change);
  }

  get(id: string): MachineRecord | undefined {
    return this.records.get(id);
  }

  /** Number of machines of this kind in all shards, without those that are to be released. */
  countOfKind(type: string, zone: string, spot: boolean): number {
    return this.countsByKind.get(kindKey(type, zone, spot)) ?? 0;
  }
}

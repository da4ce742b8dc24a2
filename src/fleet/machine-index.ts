/**
 * All machine records together, indexed by what the leader asks. Kept in step with the watch cache, event by
 * event: to walk over thousands of machines several times a second would take much of a small core.
 */
import { SAME_ZONE_WEIGHT } from '../constants/fleet.js';
import type { WatchEvent } from '../kv-store/model.js';
import { parseSharedKey } from '../kv-store/keys.js';
import { readMachineRecord } from './machine-record-codec.js';
import { kindKey, type MachineRecord } from './machine-record.js';

/** State: how many machines of each kind each shard has. */
export class ShardMachineCounts {
  private readonly counts = new Map<string, number>();

  add(record: MachineRecord, change: 1 | -1): void {
    const { shardId, type, zone, spot } = record;
    for (const key of [`${shardId}|${type}|${spot}`, `${shardId}|${kindKey(type, zone, spot)}`])
      this.counts.set(key, (this.counts.get(key) ?? 0) + change);
  }

  /** How many machines of this type and kind the shard has; those of the zone count a little more. */
  weight(shardId: number, type: string, zone: string, spot: boolean): number {
    const all = this.counts.get(`${shardId}|${type}|${spot}`) ?? 0;
    const inZone = this.counts.get(`${shardId}|${kindKey(type, zone, spot)}`) ?? 0;
    return all + inZone * SAME_ZONE_WEIGHT;
  }

  clear(): void {
    this.counts.clear();
  }
}

/** State: the records as the watch cache shows them, and counts over them. */
export class MachineIndex {
  private readonly records = new Map<string, MachineRecord>();
  private readonly byKind = new Map<string, number>();
  readonly shards = new ShardMachineCounts();
  /** Machines that the holders of their shards want released. */
  readonly releasing = new Set<string>();

  onEvent(event: WatchEvent): void {
    const key = parseSharedKey(event._tag === 'put' ? event.entry.key : event.key);
    if (key._tag !== 'machine') return;
    const id = key.machine;
    const before = this.records.get(id);
    if (before) this.count(id, before, -1);
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
    this.byKind.set(kind, (this.byKind.get(kind) ?? 0) + change);
  }

  get(id: string): MachineRecord | undefined {
    return this.records.get(id);
  }

  /** Machines of this kind, in any shard, that are not being released. */
  countOfKind(type: string, zone: string, spot: boolean): number {
    return this.byKind.get(kindKey(type, zone, spot)) ?? 0;
  }
}

import { SAME_ZONE_WEIGHT } from '../constants/fleet.js';
import type { WatchEvent } from '../kv-store/model.js';
import { parseSharedKey } from '../kv-store/keys.js';
import { readMachineRecord, type MachineRecord } from './records.js';

/** Names a type, zone and kind of machine. */
export const kindKey = (type: string, zone: string, spot: boolean): string => `${type}|${zone}|${spot}`;

/** Machines of each share by type, zone and kind. */
export class ShardMachineCounts {
  private readonly counts = new Map<string, number>();

  add(record: MachineRecord, change: 1 | -1): void {
    const { shardId, type, zone, spot } = record;
    for (const key of [`${shardId}|${type}|${spot}`, `${shardId}|${kindKey(type, zone, spot)}`])
      this.counts.set(key, (this.counts.get(key) ?? 0) + change);
  }

  /** How many machines of this type and kind the share has; those of the zone count a little more. */
  weight(shardId: number, type: string, zone: string, spot: boolean): number {
    const all = this.counts.get(`${shardId}|${type}|${spot}`) ?? 0;
    const inZone = this.counts.get(`${shardId}|${kindKey(type, zone, spot)}`) ?? 0;
    return all + inZone * SAME_ZONE_WEIGHT;
  }

  clear(): void {
    this.counts.clear();
  }
}

/**
 * What the leader asks about all machines together, kept up with each change of a record: with thousands of
 * machines a walk over all of them several times a second would take much of a small core.
 */
export class MachineIndex {
  private readonly records = new Map<string, MachineRecord>();
  private readonly byKind = new Map<string, number>();
  readonly shards = new ShardMachineCounts();
  /** Machines that their holders want released. */
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

  /** Machines of this type, zone and kind, in any share, that are not being released. */
  ofKind(type: string, zone: string, spot: boolean): number {
    return this.byKind.get(kindKey(type, zone, spot)) ?? 0;
  }
}

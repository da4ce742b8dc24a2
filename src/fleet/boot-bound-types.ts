/**
 * Machine types of which idle machines are kept, because booting one takes longer than the work can wait.
 * Every controller has one set, which grows as jobs are submitted; the shards' scale-in asks it.
 */
import { BOOT_BOUND_TARGET_FACTOR } from '../constants/machines.js';
import { fitsIn, typeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';
import type { Objectives } from '../placement/urgency.js';

/**
 * Types whose boot takes many times as long as the loosest start target of some class that runs on them. Only
 * a machine that is up already can serve such a class, so idle ones of the type are kept. Where target and
 * boot are alike, machines in use come free about as fast as a new one boots, and keeping idle ones costs
 * more than it saves. State: the types found since this process began.
 */
export class BootBoundTypes {
  private readonly types = new Set<string>();

  constructor(
    private readonly catalog: () => Catalog | null,
    private readonly objectives: ReadonlyMap<string, Objectives>,
  ) {}

  /** Takes note of a job that was submitted. For work that may use spot machines none is kept idle. */
  note(spec: JobSpec): void {
    const catalog = this.catalog();
    const loosestS = this.objectives.get(spec.jobClass)?.wait.at(-1);
    if (!catalog || loosestS === undefined || spec.spot) return;
    for (const type of catalog.values()) {
      if (
        type.bootS > loosestS * BOOT_BOUND_TARGET_FACTOR &&
        typeAllowed(spec, type.name) &&
        fitsIn(spec, type)
      )
        this.types.add(type.name);
    }
  }

  has(type: string): boolean {
    return this.types.has(type);
  }
}

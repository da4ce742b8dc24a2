/**
 * Machine types of which idle machines are kept, because a boot takes longer than some jobs can wait. Every
 * controller has one set, which grows as jobs are submitted. The shards query it before they release idle
 * machines.
 */
import { BOOT_BOUND_TARGET_FACTOR } from '../constants/machines.js';
import { fitsIn, typeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';
import type { Objectives } from '../placement/urgency.js';

/**
 * Types whose boot takes many times as long as the loosest start target of some job class that can run on
 * them. Only a machine that has already booted can meet the target of such a class, so idle machines of the
 * type are kept. If the target is about as long as a boot, busy machines become free about as fast as a new
 * machine boots, and keeping idle machines costs more than it saves. State: the types found since this
 * process started.
 */
export class BootBoundTypes {
  private readonly types = new Set<string>();

  constructor(
    private readonly catalog: () => Catalog | null,
    private readonly objectives: ReadonlyMap<string, Objectives>,
  ) {}

  /** Records a submitted job. No idle machines are kept for jobs that may use spot machines. */
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

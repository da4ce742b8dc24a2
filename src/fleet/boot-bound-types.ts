import { fitsIn, typeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';
import type { Objectives } from '../placement/urgency.js';

/**
 * Machine types whose boot takes longer than every start target of some class that runs on them. For such a class a
 * machine that has to be rented first is always too late, so idle machines of the type are worth keeping.
 */
export class BootBoundTypes {
  private readonly types = new Set<string>();

  constructor(
    private readonly catalog: () => Catalog | null,
    private readonly objectives: ReadonlyMap<string, Objectives>,
  ) {}

  /** Takes note of a job that was submitted. Work that may use spot machines is not kept ordinary ones for. */
  note(spec: JobSpec): void {
    const catalog = this.catalog();
    const loosestS = this.objectives.get(spec.klass)?.wait.at(-1);
    if (!catalog || loosestS === undefined || spec.spot) return;
    for (const type of catalog.values()) {
      if (type.bootS > loosestS && typeAllowed(spec, type.name) && fitsIn(spec, type))
        this.types.add(type.name);
    }
  }

  has(type: string): boolean {
    return this.types.has(type);
  }
}

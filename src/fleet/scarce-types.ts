/**
 * Machine types that some job can't do without. Every controller has one set, which grows as jobs are
 * submitted; work that has alternatives leaves such machines to the jobs that have none.
 */
import { fitsIn, fittingTypes, type Catalog, type Demand, type JobSpec } from '../jobs/model.js';

/**
 * State: types that are the only one for some job seen since this process began; jobs on spot machines don't
 * count.
 */
export class ScarceTypes {
  /** The most that one task of such jobs takes, by type. */
  private readonly types = new Map<string, Demand>();

  constructor(private readonly catalog: () => Catalog | null) {}

  /** Takes note of a job that was submitted. */
  note(spec: JobSpec): void {
    const catalog = this.catalog();
    if (!catalog || spec.spot) return;
    const [only, other] = fittingTypes(spec, catalog);
    if (!only || other) return;
    const known = this.types.get(only.name);
    if (known && fitsIn(spec, known)) return;
    this.types.set(only.name, {
      cpus: Math.max(spec.cpus, known?.cpus ?? 0),
      gpus: Math.max(spec.gpus, known?.gpus ?? 0),
      memoryGb: Math.max(spec.memoryGb, known?.memoryGb ?? 0),
    });
  }

  /** What one task of the work that needs this type may take; null: all work has other types to go to. */
  demand(type: string): Demand | null {
    return this.types.get(type) ?? null;
  }
}

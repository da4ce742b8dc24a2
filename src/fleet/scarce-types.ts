/**
 * Machine types that are the only suitable type for some job. Every controller has one set, which grows as
 * jobs are submitted. Jobs that can run on other types leave machines of these types to jobs that cannot.
 */
import { fitsIn, fittingTypes, type Catalog, type Demand, type JobSpec } from '../jobs/model.js';

/**
 * State: types that are the only suitable type for some job seen since this process started. Jobs that may
 * use spot machines don't count.
 */
export class ScarceTypes {
  /** By type: the largest amounts that one task of such a job needs. */
  private readonly types = new Map<string, Demand>();

  constructor(private readonly catalog: () => Catalog | null) {}

  /** Records a submitted job. */
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

  /** The largest amounts that one task of a job that needs this type takes; null: no known job needs it. */
  demand(type: string): Demand | null {
    return this.types.get(type) ?? null;
  }
}

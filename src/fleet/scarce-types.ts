import { fitsIn, typeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';

/** Machine types without an alternative for some job seen since this process began; jobs on spot machines don't count. */
export class ScarceTypes {
  private readonly types = new Set<string>();

  constructor(private readonly catalog: () => Catalog | null) {}

  /** Takes note of a job that was submitted. */
  note(spec: JobSpec): void {
    const catalog = this.catalog();
    if (!catalog || spec.spot) return;
    const fits = [...catalog.values()].filter((type) => typeAllowed(spec, type.name) && fitsIn(spec, type));
    if (fits.length === 1 && fits[0]) this.types.add(fits[0].name);
  }

  has(type: string): boolean {
    return this.types.has(type);
  }
}

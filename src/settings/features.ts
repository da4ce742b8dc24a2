/**
 * Reads the feature file, `deploy/features.toml`, which says which optional subsystems run. Owns no state;
 * the program reads the file once at start.
 */
import { parse } from 'smol-toml';

/**
 * Optional subsystems. An operator enables each in `deploy/features.toml`; a subsystem that the file does not
 * name is disabled.
 */
export interface Features {
  /** Whether fencing of single-holder duties is enabled (`docs/fencing.md`). */
  readonly fencing: boolean;
}

/** All optional subsystems disabled. */
export const NO_FEATURES: Features = { fencing: false };
/** All optional subsystems enabled. */
export const ALL_FEATURES: Features = { fencing: true };

/** Result of checking a feature file. */
export type CheckedFeatures =
  { readonly _tag: 'ok'; readonly features: Features } | { readonly _tag: 'bad'; readonly message: string };

const isFeature = (name: string): name is keyof Features => Object.hasOwn(NO_FEATURES, name);

const reject = (reason: string): CheckedFeatures => ({ _tag: 'bad', message: `features: ${reason}` });

/** Parses and checks a feature file, which has one `name = true` or `name = false` per line. */
export const checkFeatures = (text: string): CheckedFeatures => {
  let raw: Record<string, unknown>;
  try {
    raw = parse(text);
  } catch (error) {
    return reject(`not TOML: ${(error as Error).message.split('\n')[0] ?? ''}`);
  }
  const chosen: Record<keyof Features, boolean> = { ...NO_FEATURES };
  for (const [name, value] of Object.entries(raw)) {
    if (!isFeature(name))
      return reject(`no feature is called "${name}"; there is: ${Object.keys(NO_FEATURES).join(', ')}`);
    if (typeof value !== 'boolean') return reject(`"${name}" must be true or false`);
    chosen[name] = value;
  }
  return { _tag: 'ok', features: chosen };
};

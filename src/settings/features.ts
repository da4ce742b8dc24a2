/**
 * The feature file, `deploy/features.toml`: which optional subsystems run. Owns no state; read once at start.
 */
import { parse } from 'smol-toml';

/**
 * Subsystems that an operator switches on or off in `deploy/features.toml`; each is off unless it is named
 * there.
 */
export interface Features {
  /** Fenced single duties (`docs/fencing.md`). */
  readonly fencing: boolean;
}

/** Everything off. */
export const NO_FEATURES: Features = { fencing: false };
/** Everything on. */
export const ALL_FEATURES: Features = { fencing: true };

/** The outcome of reading a feature file. */
export type CheckedFeatures =
  { readonly _tag: 'ok'; readonly features: Features } | { readonly _tag: 'bad'; readonly message: string };

const isFeature = (name: string): name is keyof Features => Object.hasOwn(NO_FEATURES, name);

const reject = (reason: string): CheckedFeatures => ({ _tag: 'bad', message: `features: ${reason}` });

/** Reads a feature file: one `name = true` or `name = false` a line. */
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

/** Reads and checks the files that a controller is configured with. Without state. */
import { existsSync, readFileSync } from 'node:fs';
import { checkFeatures, NO_FEATURES, type Features } from '../settings/features.js';
import { ALLOW_ANY_ADDRESS, checkNetworks, type AdminAccess } from '../settings/networks.js';
import { checkSettings, type Settings } from '../settings/schema.js';
import type { ConfigurationFiles } from './arguments.js';

/** The files that the installation comes with: beside `target/`, in which the bundle lies two levels down. */
const INSTALLED_FEATURES = new URL('../../deploy/features.toml', import.meta.url);
const INSTALLED_NETWORKS = new URL('../../deploy/networks.toml', import.meta.url);

/** Something that is read from a file; the message of a failure names the file's kind and the reason. */
type LoadResult<T> =
  { readonly _tag: 'loaded'; readonly value: T } | { readonly _tag: 'failed'; readonly message: string };

/** What a controller is configured with. */
export interface Configuration {
  readonly settings: Settings;
  readonly features: Features;
  readonly admin: AdminAccess;
}

const readText = (kind: string, file: string | URL): LoadResult<string> => {
  try {
    return { _tag: 'loaded', value: readFileSync(file, 'utf8') };
  } catch (error) {
    return { _tag: 'failed', message: `${kind}: ${(error as Error).message}` };
  }
};

/** The text of the file that is named, or else of the installation's; null: there is neither. */
const readOptionalText = (
  kind: string,
  named: string | undefined,
  installed: URL,
): LoadResult<string | null> => {
  if (named === undefined && !existsSync(installed)) return { _tag: 'loaded', value: null };
  return readText(kind, named ?? installed);
};

const loadSettings = (file: string): LoadResult<Settings> => {
  const text = readText('settings', file);
  if (text._tag === 'failed') return text;
  const checked = checkSettings(text.value);
  return checked._tag === 'ok'
    ? { _tag: 'loaded', value: checked.settings }
    : { _tag: 'failed', message: checked.message };
};

const loadFeatures = (file: string | undefined): LoadResult<Features> => {
  const text = readOptionalText('features', file, INSTALLED_FEATURES);
  if (text._tag === 'failed') return text;
  if (text.value === null) return { _tag: 'loaded', value: NO_FEATURES };
  const checked = checkFeatures(text.value);
  return checked._tag === 'ok'
    ? { _tag: 'loaded', value: checked.features }
    : { _tag: 'failed', message: checked.message };
};

const loadAdminAccess = (file: string | undefined): LoadResult<AdminAccess> => {
  const text = readOptionalText('networks', file, INSTALLED_NETWORKS);
  if (text._tag === 'failed') return text;
  if (text.value === null) return { _tag: 'loaded', value: ALLOW_ANY_ADDRESS };
  const checked = checkNetworks(text.value);
  return checked._tag === 'ok'
    ? { _tag: 'loaded', value: checked.admin }
    : { _tag: 'failed', message: checked.message };
};

/** Loads all files; the first one that is bad is the failure. */
export const loadConfiguration = (files: ConfigurationFiles): LoadResult<Configuration> => {
  const settings = loadSettings(files.settings);
  if (settings._tag === 'failed') return settings;
  const features = loadFeatures(files.features);
  if (features._tag === 'failed') return features;
  const admin = loadAdminAccess(files.networks);
  if (admin._tag === 'failed') return admin;
  return {
    _tag: 'loaded',
    value: { settings: settings.value, features: features.value, admin: admin.value },
  };
};

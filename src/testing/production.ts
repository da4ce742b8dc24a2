import { execFileSync } from 'node:child_process';
import { mkdirSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import { buildSync } from 'esbuild';
import type { compose } from '../controller/compose.js';
import type { Controller, Ports } from '../controller/ports.js';

/** What the tests use of the version that production runs. */
export interface Production {
  readonly compose: typeof compose;
  readonly codec: typeof import('../jobs/codec.js');
  readonly records: typeof import('../placement/run-records.js');
  readonly machines: typeof import('../fleet/records.js');
  readonly keys: typeof import('../kv-store/keys.js');
}

/** The composition root of that version, whose ports and routes have other names. */
type EarlierCompose = (
  settings: Parameters<typeof compose>[0],
  ports: Omit<Ports, 'workerClient'> & { readonly line: Ports['workerClient'] },
) => Omit<Controller, 'peerRoute'> & { readonly mesh: Controller['peerRoute'] };

const adaptCompose =
  (earlier: EarlierCompose): typeof compose =>
  (settings, { workerClient, ...ports }) => {
    const { mesh, ...controller } = earlier(settings, { ...ports, line: workerClient });
    return { ...controller, peerRoute: mesh };
  };

/**
 * The sources of the version that `deploy/service.toml` names, built from the repository's history, so that tests meet
 * the earlier code itself.
 */
export const buildProduction = async (): Promise<Production> => {
  const root = process.cwd();
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(
    readFileSync(join(root, 'deploy/service.toml'), 'utf8'),
  )?.[1];
  if (commit === undefined) throw new Error('deploy/service.toml names no production');
  const base = join(root, 'target', `production-${process.pid}`);
  rmSync(base, { recursive: true, force: true });
  mkdirSync(base, { recursive: true });
  try {
    const files = execFileSync('git', ['archive', '--format=tar', commit, 'src'], {
      maxBuffer: 64 * 1024 * 1024,
    });
    execFileSync('tar', ['-x', '-C', base], { input: files });
    const parts = ['service', 'jobs/codec', 'placement/records', 'fleet/records', 'store/keys'];
    buildSync({
      entryPoints: parts.map((part) => join(base, 'src', `${part}.ts`)),
      outdir: join(base, 'built'),
      outbase: join(base, 'src'),
      bundle: true,
      splitting: true,
      platform: 'node',
      format: 'esm',
      packages: 'external',
      logLevel: 'error',
    });
    const load = (part: string): Promise<unknown> =>
      import(pathToFileURL(join(base, 'built', `${part}.js`)).href);
    const [service, codec, records, machines, keys] = await Promise.all(parts.map(load));
    return {
      compose: adaptCompose((service as { compose: EarlierCompose }).compose),
      codec: codec as Production['codec'],
      records: records as Production['records'],
      machines: machines as Production['machines'],
      keys: keys as Production['keys'],
    };
  } finally {
    rmSync(base, { recursive: true, force: true });
  }
};

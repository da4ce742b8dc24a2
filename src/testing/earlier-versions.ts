/**
 * Earlier versions of the controller, built from the repository's history, under the names of this version.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import { buildSync } from 'esbuild';
import type { compose } from '../controller/compose.js';
import type { Controller, Ports } from '../controller/ports.js';
import type { MachineRecord } from '../fleet/machine-record.js';
import type { CallOutcome, HttpClient } from '../http/model.js';
import type { FinalRecord, JobRecord, JobSpec } from '../jobs/model.js';
import type { RunRecord } from '../placement/run-records.js';
import type { WorkerHeartbeat } from '../workers/model.js';
import type { DirectCommandSender, DirectResult } from '../workers/worker-client.js';

/** What the tests use of the version that production runs, under the names of this version. */
export interface Production {
  readonly compose: typeof compose;
  readonly codec: {
    readonly readJobRecord: (data: unknown) => EarlierJobRecord;
    readonly writeJobRecord: (record: JobRecord) => unknown;
    readonly readFinalRecord: (data: unknown) => FinalRecord;
    readonly writeFinalRecord: (record: FinalRecord) => unknown;
  };
  readonly records: {
    readonly readRunRecord: (data: unknown, chunk: number) => RunRecord;
    readonly writeRunRecord: (record: RunRecord, chunk: number) => unknown;
  };
  readonly machines: {
    readonly readMachineRecord: (data: unknown) => MachineRecord;
    readonly writeMachineRecord: (record: MachineRecord) => unknown;
  };
}

/** What that version knows of a job. */
type EarlierJobRecord = Omit<JobRecord, 'cancelledAt' | 'dependsOn' | 'parts'>;

/** The names that that version gives the fields of a job's specification. */
type EarlierSpec = Omit<JobSpec, 'jobClass'> & { readonly klass: string };
type EarlierNamedJobRecord = Omit<EarlierJobRecord, 'spec'> & { readonly spec: EarlierSpec };

/** The names that that version gives the fields of a machine's record. */
type EarlierNamedMachineRecord = Omit<MachineRecord, 'shardId' | 'agentEpoch'> & {
  readonly share: number;
  readonly session: number;
};

/** The outcome of a request in that version. */
type EarlierOutcome =
  | { readonly _tag: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly _tag: 'silence'; readonly why: string };

/** A client for one address in that version. */
interface EarlierClient {
  readonly request: (...call: Parameters<HttpClient['request']>) => Promise<EarlierOutcome>;
}

/** A worker's heartbeat in that version. */
type EarlierHeartbeat = Omit<WorkerHeartbeat, 'agentEpoch' | 'sequenceNumber'> & {
  readonly session: number;
  readonly seq: number;
};
type EarlierDirectResult =
  | { readonly _tag: 'executed'; readonly report: EarlierHeartbeat }
  | { readonly _tag: 'refused'; readonly report: EarlierHeartbeat | null }
  | { readonly _tag: 'unsure' };

/** Sends commands to workers in that version. */
interface EarlierCommands {
  readonly send: (...commands: Parameters<DirectCommandSender['send']>) => Promise<EarlierDirectResult>;
}

/** The ports of that version. */
type EarlierPorts = Omit<Ports, 'workerClient' | 'createHttpClient'> & {
  readonly callers: (...at: Parameters<Ports['createHttpClient']>) => EarlierClient;
  readonly line: EarlierCommands;
};

/** The composition root of ba59fc1, the last version before the renaming. */
type ComposeBeforeRenaming = (
  settings: Parameters<typeof compose>[0],
  ports: Omit<EarlierPorts, 'line'> & { readonly workerClient: EarlierCommands },
  features: Parameters<typeof compose>[2],
  adminAccess: Parameters<typeof compose>[3],
) => Controller;

/** The composition root of that version, whose ports and routes have other names. */
type EarlierCompose = (
  settings: Parameters<typeof compose>[0],
  ports: EarlierPorts,
) => Omit<Controller, 'peerRoute'> & { readonly mesh: Controller['peerRoute'] };

/** The modules of that version. */
interface EarlierModules {
  readonly service: { readonly compose: EarlierCompose };
  readonly codec: {
    readonly readJobRecord: (data: unknown) => EarlierNamedJobRecord;
    readonly writeJobRecord: (record: EarlierNamedJobRecord) => unknown;
    readonly readFinalRecord: (data: unknown) => FinalRecord;
    readonly writeFinalRecord: (record: FinalRecord) => unknown;
  };
  readonly records: Production['records'];
  readonly machines: {
    readonly readMachineRecord: (data: unknown) => EarlierNamedMachineRecord;
    readonly writeMachineRecord: (record: EarlierNamedMachineRecord) => unknown;
  };
}

const toEarlierOutcome = (outcome: CallOutcome): EarlierOutcome =>
  outcome._tag === 'response' ? { ...outcome, _tag: 'answer' } : { ...outcome, _tag: 'silence' };

const toEarlierHeartbeat = ({
  agentEpoch,
  sequenceNumber,
  ...heartbeat
}: WorkerHeartbeat): EarlierHeartbeat => ({
  ...heartbeat,
  session: agentEpoch,
  seq: sequenceNumber,
});

const toEarlierResult = (result: DirectResult): EarlierDirectResult => {
  switch (result._tag) {
    case 'executed':
      return { _tag: 'executed', report: toEarlierHeartbeat(result.heartbeat) };
    case 'refused':
      return {
        _tag: 'refused',
        report: result.heartbeat === null ? null : toEarlierHeartbeat(result.heartbeat),
      };
    case 'unknown':
      return { _tag: 'unsure' };
  }
};

const adaptClients =
  (createHttpClient: Ports['createHttpClient']): EarlierPorts['callers'] =>
  (...at) => {
    const client = createHttpClient(...at);
    return { request: async (...call) => toEarlierOutcome(await client.request(...call)) };
  };

const adaptCommands = (workerClient: DirectCommandSender): EarlierCommands => ({
  send: async (...commands) => toEarlierResult(await workerClient.send(...commands)),
});

const adaptCompose =
  (earlier: EarlierCompose): typeof compose =>
  (settings, { workerClient, createHttpClient, ...ports }) => {
    const { mesh, ...controller } = earlier(settings, {
      ...ports,
      callers: adaptClients(createHttpClient),
      line: adaptCommands(workerClient),
    });
    return { ...controller, peerRoute: mesh };
  };

const adaptComposeBeforeRenaming =
  (earlier: ComposeBeforeRenaming): typeof compose =>
  (settings, { workerClient, createHttpClient, ...ports }, features, adminAccess) =>
    earlier(
      settings,
      { ...ports, callers: adaptClients(createHttpClient), workerClient: adaptCommands(workerClient) },
      features,
      adminAccess,
    );

const adaptCodec = (earlier: EarlierModules['codec']): Production['codec'] => ({
  readJobRecord: (data) => {
    const { spec, ...record } = earlier.readJobRecord(data);
    const { klass, ...rest } = spec;
    return { ...record, spec: { ...rest, jobClass: klass } };
  },
  writeJobRecord: ({ spec, ...record }) => {
    const { jobClass, ...rest } = spec;
    return earlier.writeJobRecord({ ...record, spec: { ...rest, klass: jobClass } });
  },
  readFinalRecord: earlier.readFinalRecord,
  writeFinalRecord: earlier.writeFinalRecord,
});

const adaptMachines = (earlier: EarlierModules['machines']): Production['machines'] => ({
  readMachineRecord: (data) => {
    const { share, session, ...record } = earlier.readMachineRecord(data);
    return { ...record, shardId: share, agentEpoch: session };
  },
  writeMachineRecord: ({ shardId, agentEpoch, ...record }) =>
    earlier.writeMachineRecord({ ...record, share: shardId, session: agentEpoch }),
});

/**
 * Builds modules of an earlier version from the repository's history, so that tests meet the earlier code
 * itself.
 */
const buildModules = async (commit: string, parts: readonly string[]): Promise<readonly unknown[]> => {
  const base = join(process.cwd(), 'target', `${commit.slice(0, 7)}-${process.pid}`);
  rmSync(base, { recursive: true, force: true });
  mkdirSync(base, { recursive: true });
  try {
    const files = execFileSync('git', ['archive', '--format=tar', commit], {
      maxBuffer: 256 * 1024 * 1024,
    });
    execFileSync('tar', ['-x', '-C', base, '--exclude=journal'], { input: files });
    const fencing = join(base, 'packages/fencing/src/index.ts');
    buildSync({
      entryPoints: parts.map((part) => join(base, 'src', `${part}.ts`)),
      outdir: join(base, 'built'),
      outbase: join(base, 'src'),
      bundle: true,
      splitting: true,
      platform: 'node',
      format: 'esm',
      packages: 'external',
      // Its own package, not the present one.
      ...(existsSync(fencing) ? { alias: { '@dalegate/fencing': fencing } } : {}),
      logLevel: 'error',
    });
    const load = (part: string): Promise<unknown> =>
      import(pathToFileURL(join(base, 'built', `${part}.js`)).href);
    return await Promise.all(parts.map(load));
  } finally {
    rmSync(base, { recursive: true, force: true });
  }
};

/** The version that `deploy/service.toml` names. */
export const buildProduction = async (): Promise<Production> => {
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(readFileSync('deploy/service.toml', 'utf8'))?.[1];
  if (commit === undefined) throw new Error('deploy/service.toml names no production');
  const parts = ['service', 'jobs/codec', 'placement/records', 'fleet/records'];
  const [service, codec, records, machines] = await buildModules(commit, parts);
  return {
    compose: adaptCompose((service as EarlierModules['service']).compose),
    codec: adaptCodec(codec as EarlierModules['codec']),
    records: records as EarlierModules['records'],
    machines: adaptMachines(machines as EarlierModules['machines']),
  };
};

/** The last version before the renaming. */
const BEFORE_RENAMING = 'ba59fc128496ca63be7e7e6e5964ffc3103d5a8c';

/** The composition root of the last version before the renaming. */
export const buildBeforeRenaming = async (): Promise<typeof compose> => {
  const [service] = await buildModules(BEFORE_RENAMING, ['service']);
  return adaptComposeBeforeRenaming((service as { compose: ComposeBeforeRenaming }).compose);
};

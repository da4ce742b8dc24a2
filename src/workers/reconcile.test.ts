/** Tests of what reports mean for bound tasks, of the answers to them, and of reading them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_FORGET_COMMAND_DELAY_MS } from '../constants/workers.js';
import type { Binding, ShardMachine } from '../placement/shard-model.js';
import { bindingKey } from '../placement/shard-model.js';
import { nextPhase, type Phase } from '../placement/attempt-phase.js';
import type { WorkerHeartbeat, ReportedTask, TaskState } from './model.js';
import { answerCommands, detectPhaseChanges } from './reconcile.js';
import { readWorkerHeartbeat } from './codec.js';

const bindingOf = (phase: Phase, over: Partial<Binding> = {}): Binding => ({
  job: 'job-1',
  index: 0,
  attempt: 3,
  machine: 'i-1',
  phase,
  stop: null,
  lastSeen: null,
  boundAt: 0,
  runningAt: null,
  runCommandsSent: 0,
  ...over,
});
const machineOf = (binding: Binding | null): ShardMachine => ({
  id: 'i-1',
  type: 'g',
  zone: 'x',
  spot: false,
  version: 5,
  recordedAt: 0,
  releasing: false,
  cordoned: false,
  addr: 'a:1',
  agentEpoch: 1,
  sequenceNumber: 10,
  confirmedToken: 9,
  everConfirmedToken: true,
  unconfirmedSince: null,
  addedAt: 0,
  answeredAt: 0,
  reclaimNoticeAt: null,
  reclaimNoticeS: null,
  unacknowledgedRuns: new Map(),
  needsHigherToken: false,
  pendingAnswers: 0,
  reportedTasks: [],
  exitsPendingSince: 0,
  bound: new Map(binding ? [[bindingKey(binding.job, binding.index, binding.attempt), binding]] : []),
  images: new Set(),
  health: { _tag: 'healthy' },
  idleSince: null,
  total: { cpus: 1, gpus: 1, memoryGb: 1 },
  free: null,
});
const task = (state: TaskState, attempt = 3): ReportedTask => ({ job: 'job-1', index: 0, attempt, state });
const reportOf = (tasks: readonly ReportedTask[], over: Partial<WorkerHeartbeat> = {}): WorkerHeartbeat => ({
  machine: 'i-1',
  addr: 'a:1',
  type: 'g',
  zone: 'x',
  spot: false,
  agentEpoch: 1,
  sequenceNumber: 11,
  token: 9,
  noticeS: null,
  tasks,
  ...over,
});

const evidence: readonly {
  name: string;
  phase: Phase;
  stop?: boolean;
  seenSequenceNumber?: number;
  heartbeat: WorkerHeartbeat;
  late?: boolean;
  token?: boolean;
  heardUs?: boolean;
  to: string;
}[] = [
  {
    name: 'an exit is evidence',
    phase: { _tag: 'running' },
    heartbeat: reportOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    to: 'gone',
  },
  {
    name: 'a newer report without a task that was there, under our token',
    phase: { _tag: 'running' },
    heartbeat: reportOf([]),
    to: 'gone',
  },
  {
    name: 'the same under an older token proves nothing: a command of an earlier holder may arrive',
    phase: { _tag: 'running' },
    heartbeat: reportOf([], { token: 8 }),
    token: false,
    to: 'running',
  },
  {
    name: 'a new session is evidence, once the worker has ever named a token of ours',
    phase: { _tag: 'running' },
    heartbeat: reportOf([], { agentEpoch: 2, sequenceNumber: 1, token: 8 }),
    token: false,
    to: 'gone',
  },
  {
    name: 'but not before: a direct run of an earlier holder may name that very session',
    phase: { _tag: 'running' },
    heardUs: false,
    heartbeat: reportOf([], { agentEpoch: 2, sequenceNumber: 1, token: 8 }),
    token: false,
    to: 'running',
  },
  {
    name: 'a bound task that never showed in a session now over goes elsewhere: the machine may not hear us',
    phase: { _tag: 'bound' },
    heartbeat: reportOf([], { agentEpoch: 2, sequenceNumber: 1 }),
    late: true,
    to: 'gone',
  },
  {
    name: 'a bound task that is absent may not have arrived yet',
    phase: { _tag: 'bound' },
    heartbeat: reportOf([]),
    to: 'bound',
  },
  {
    name: 'a bound task to be stopped that is absent is gone',
    phase: { _tag: 'bound' },
    stop: true,
    heartbeat: reportOf([]),
    to: 'gone',
  },
  {
    name: 'but not while a direct run of it may still arrive',
    phase: { _tag: 'bound' },
    stop: true,
    heartbeat: reportOf([]),
    late: true,
    to: 'bound',
  },
  {
    name: 'a report overtaken by a direct answer proves nothing',
    phase: { _tag: 'running' },
    seenSequenceNumber: 12,
    heartbeat: reportOf([]),
    to: 'running',
  },
  {
    name: 'nothing is concluded about a bind that is not durable',
    phase: { _tag: 'binding' },
    stop: true,
    heartbeat: reportOf([]),
    to: 'binding',
  },
  {
    name: 'another attempt on the machine is not this one',
    phase: { _tag: 'bound' },
    heartbeat: reportOf([task({ _tag: 'running' }, 2)]),
    to: 'bound',
  },
];
for (const row of evidence) {
  test(`evidence: ${row.name}`, () => {
    const binding = bindingOf(row.phase, {
      stop: row.stop ? { reason: 'cancelled', graceS: 0, since: 0 } : null,
      lastSeen:
        row.seenSequenceNumber === undefined
          ? null
          : { agentEpoch: 1, sequenceNumber: row.seenSequenceNumber },
    });
    const changes = detectPhaseChanges(
      { ...machineOf(binding), everConfirmedToken: row.heardUs ?? true },
      row.heartbeat,
      row.token ?? true,
      () => row.late ?? false,
    );
    const after = changes.reduce((phase, change) => nextPhase(phase, change.event), binding.phase);
    assert.equal(after._tag, row.to);
  });
}

const answers: readonly {
  name: string;
  binding: Binding | null;
  heartbeat: WorkerHeartbeat;
  settled?: boolean;
  token?: boolean;
  now?: number;
  expect: readonly string[];
}[] = [
  {
    name: 'a durable bind that is not there yet is started',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: reportOf([]),
    expect: ['run 3'],
  },
  {
    name: 'a bind that is not durable is not',
    binding: bindingOf({ _tag: 'binding' }),
    heartbeat: reportOf([]),
    expect: [],
  },
  {
    name: 'a task that is not bound here is stopped',
    binding: null,
    heartbeat: reportOf([task({ _tag: 'running' })]),
    expect: ['stop 3 0'],
  },
  {
    name: 'an older attempt is stopped beside the bound one',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: reportOf([task({ _tag: 'running' }, 2)]),
    expect: ['stop 2 0', 'run 3'],
  },
  {
    name: 'an exit that the state still binds is kept',
    binding: null,
    heartbeat: reportOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    settled: false,
    now: 20_000,
    expect: [],
  },
  {
    name: 'a settled exit is forgotten, after a while in which others may join it',
    binding: null,
    heartbeat: reportOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    now: MAX_FORGET_COMMAND_DELAY_MS + 1_000,
    expect: ['forget 3'],
  },
  {
    name: 'not at once: each makes the worker report anew',
    binding: null,
    heartbeat: reportOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    now: 2_000,
    expect: [],
  },
  {
    name: 'but with other commands',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: reportOf([task({ _tag: 'exited', cause: 'done', saved: false }, 2)]),
    now: 2_000,
    expect: ['run 3', 'forget 2'],
  },
  {
    name: 'but only by the token in force',
    binding: null,
    heartbeat: reportOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    token: false,
    now: 20_000,
    expect: [],
  },
  {
    name: 'a stop with grace is not repeated while the task saves',
    binding: bindingOf({ _tag: 'saving' }, { stop: { reason: 'draining', graceS: 5, since: 0 } }),
    heartbeat: reportOf([task({ _tag: 'saving' })]),
    now: 4_000,
    expect: [],
  },
  {
    name: 'a task that overstays its grace is ended',
    binding: bindingOf({ _tag: 'saving' }, { stop: { reason: 'draining', graceS: 5, since: 0 } }),
    heartbeat: reportOf([task({ _tag: 'saving' })]),
    now: 60_000,
    expect: ['stop 3 0'],
  },
];
for (const row of answers) {
  test(`answer: ${row.name}`, () => {
    const commands = answerCommands(
      machineOf(row.binding),
      row.heartbeat,
      row.token ?? true,
      () => row.settled ?? true,
      row.now ?? 0,
    );
    assert.deepEqual(
      commands.map((command) =>
        [command._tag, command.attempt, ...(command._tag === 'stop' ? [command.graceS] : [])].join(' '),
      ),
      row.expect,
    );
  });
}

const hello = {
  drover: 'i-1',
  addr: 'a:1',
  breed: 'g',
  paddock: 'x',
  agistment: true,
  stint: 1,
  tally: 2,
  crook: 3,
  heads: [{ head: 'job-1/0', try: 1, status: 'exited', cause: 'no_room' }],
};
const reports: readonly { name: string; value: unknown; expect: unknown }[] = [
  { name: 'a refused start', value: hello, expect: { _tag: 'exited', cause: 'noRoom', saved: false } },
  {
    name: 'a state we do not know occupies its machine',
    value: { ...hello, heads: [{ head: 'job-1/0', try: 1, status: 'dreaming' }] },
    expect: { _tag: 'running' },
  },
  { name: 'a missing session is malformed', value: { ...hello, stint: undefined }, expect: null },
  { name: 'not a map', value: [1], expect: null },
];
for (const row of reports) {
  test(`report: ${row.name}`, () =>
    assert.deepEqual(readWorkerHeartbeat(row.value)?.tasks[0]?.state ?? null, row.expect));
}

/**
 * Tests of the phase changes that worker heartbeats imply, of the answers to heartbeats, and of their codec.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_FORGET_COMMAND_DELAY_MS } from '../constants/workers.js';
import type { Binding, ShardMachine } from '../placement/shard-model.js';
import { bindingKey } from '../placement/shard-model.js';
import { nextPhase, type Phase } from '../placement/attempt-phase.js';
import type { Command, WorkerHeartbeat, ReportedTask, TaskState } from './model.js';
import { answerCommands, detectPhaseChanges } from './reconcile.js';
import { readWorkerHeartbeat } from './codec.js';

const bindingOf = (phase: Phase, overrides: Partial<Binding> = {}): Binding => ({
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
  ...overrides,
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
  raisedToken: 0,
  everConfirmedToken: true,
  unconfirmedSince: null,
  addedAt: 0,
  answeredAt: 0,
  reclaimNoticeAt: null,
  reclaimNoticeS: null,
  directRuns: new Map(),
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
const heartbeatOf = (
  tasks: readonly ReportedTask[],
  overrides: Partial<WorkerHeartbeat> = {},
): WorkerHeartbeat => ({
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
  ...overrides,
});

const evidence: readonly {
  name: string;
  phase: Phase;
  stop?: boolean;
  seenSequenceNumber?: number;
  heartbeat: WorkerHeartbeat;
  mayArriveLate?: boolean;
  tokenConfirmed?: boolean;
  everConfirmedToken?: boolean;
  expected: string;
}[] = [
  {
    name: 'an exit is evidence',
    phase: { _tag: 'running' },
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    expected: 'gone',
  },
  {
    name: 'a newer heartbeat under our token without a task that was there is evidence',
    phase: { _tag: 'running' },
    heartbeat: heartbeatOf([]),
    expected: 'gone',
  },
  {
    name: 'an absent task under an older token is not gone: a command of an earlier holder may arrive',
    phase: { _tag: 'running' },
    heartbeat: heartbeatOf([], { token: 8 }),
    tokenConfirmed: false,
    expected: 'running',
  },
  {
    name: 'a new session is evidence once the worker has named a token of this holder',
    phase: { _tag: 'running' },
    heartbeat: heartbeatOf([], { agentEpoch: 2, sequenceNumber: 1, token: 8 }),
    tokenConfirmed: false,
    expected: 'gone',
  },
  {
    name: 'a new session proves nothing while a direct run of an earlier holder may name it',
    phase: { _tag: 'running' },
    everConfirmedToken: false,
    heartbeat: heartbeatOf([], { agentEpoch: 2, sequenceNumber: 1, token: 8 }),
    tokenConfirmed: false,
    expected: 'running',
  },
  {
    name: 'a bound task that an ended session never showed is gone: commands may not reach the machine',
    phase: { _tag: 'bound' },
    heartbeat: heartbeatOf([], { agentEpoch: 2, sequenceNumber: 1 }),
    mayArriveLate: true,
    expected: 'gone',
  },
  {
    name: 'a bound task that is absent may not have arrived yet',
    phase: { _tag: 'bound' },
    heartbeat: heartbeatOf([]),
    expected: 'bound',
  },
  {
    name: 'an absent bound task that is to be stopped is gone',
    phase: { _tag: 'bound' },
    stop: true,
    heartbeat: heartbeatOf([]),
    expected: 'gone',
  },
  {
    name: 'an absent task that is to be stopped stays bound while its direct run may still arrive',
    phase: { _tag: 'bound' },
    stop: true,
    heartbeat: heartbeatOf([]),
    mayArriveLate: true,
    expected: 'bound',
  },
  {
    name: 'a heartbeat older than the answer to a direct command proves nothing',
    phase: { _tag: 'running' },
    seenSequenceNumber: 12,
    heartbeat: heartbeatOf([]),
    expected: 'running',
  },
  {
    name: 'a heartbeat implies nothing for a bind that is not durable',
    phase: { _tag: 'binding' },
    stop: true,
    heartbeat: heartbeatOf([]),
    expected: 'binding',
  },
  {
    name: 'another attempt on the machine is not this one',
    phase: { _tag: 'bound' },
    heartbeat: heartbeatOf([task({ _tag: 'running' }, 2)]),
    expected: 'bound',
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
      { ...machineOf(binding), everConfirmedToken: row.everConfirmedToken ?? true },
      row.heartbeat,
      row.tokenConfirmed ?? true,
      () => row.mayArriveLate ?? false,
    );
    const after = changes.reduce((phase, change) => nextPhase(phase, change.event), binding.phase);
    assert.equal(after._tag, row.expected);
  });
}

const answers: readonly {
  name: string;
  binding: Binding | null;
  heartbeat: WorkerHeartbeat;
  mayForget?: boolean;
  /** Commands that no known token fences yet. */
  unfenced?: Command['_tag'];
  tokenConfirmed?: boolean;
  now?: number;
  expect: readonly string[];
}[] = [
  {
    name: 'a task with a durable bind that is not on the machine yet is started',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: heartbeatOf([]),
    expect: ['run 3'],
  },
  {
    name: 'a task whose bind is not durable is not started',
    binding: bindingOf({ _tag: 'binding' }),
    heartbeat: heartbeatOf([]),
    expect: [],
  },
  {
    name: 'a task that is not bound here is stopped',
    binding: null,
    heartbeat: heartbeatOf([task({ _tag: 'running' })]),
    expect: ['stop 3 0'],
  },
  {
    name: 'an older attempt is stopped and the bound one started',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: heartbeatOf([task({ _tag: 'running' }, 2)]),
    expect: ['stop 2 0', 'run 3'],
  },
  {
    name: 'an exit that the key-value store still binds is not forgotten',
    binding: null,
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    mayForget: false,
    now: 20_000,
    expect: [],
  },
  {
    name: 'an exit that may be forgotten is forgotten after the delay for a batch',
    binding: null,
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    now: MAX_FORGET_COMMAND_DELAY_MS + 1_000,
    expect: ['forget 3'],
  },
  {
    name: 'an exit is not forgotten at once, since each forget makes the worker send another heartbeat',
    binding: null,
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    now: 2_000,
    expect: [],
  },
  {
    name: 'an exit is forgotten at once with other commands',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false }, 2)]),
    now: 2_000,
    expect: ['run 3', 'forget 2'],
  },
  {
    name: 'an exit is forgotten only under the current token',
    binding: null,
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    tokenConfirmed: false,
    now: 20_000,
    expect: [],
  },
  {
    name: 'an exit is not forgotten while a copy of its direct run would start it again',
    binding: null,
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'done', saved: false })]),
    unfenced: 'forget',
    now: MAX_FORGET_COMMAND_DELAY_MS + 1_000,
    expect: [],
  },
  {
    name: 'a task is not started in place of an attempt that a copy of its direct run would start again',
    binding: bindingOf({ _tag: 'bound' }),
    heartbeat: heartbeatOf([task({ _tag: 'exited', cause: 'stopped', saved: false }, 2)]),
    unfenced: 'run',
    now: MAX_FORGET_COMMAND_DELAY_MS + 1_000,
    expect: ['forget 2'],
  },
  {
    name: 'a stop with grace is not repeated while the task saves',
    binding: bindingOf({ _tag: 'saving' }, { stop: { reason: 'draining', graceS: 5, since: 0 } }),
    heartbeat: heartbeatOf([task({ _tag: 'saving' })]),
    now: 4_000,
    expect: [],
  },
  {
    name: 'a task that is still saving after its grace is stopped without further grace',
    binding: bindingOf({ _tag: 'saving' }, { stop: { reason: 'draining', graceS: 5, since: 0 } }),
    heartbeat: heartbeatOf([task({ _tag: 'saving' })]),
    now: 60_000,
    expect: ['stop 3 0'],
  },
];
for (const row of answers) {
  test(`answer: ${row.name}`, () => {
    const commands = answerCommands(
      machineOf(row.binding),
      row.heartbeat,
      row.tokenConfirmed ?? true,
      (command) => row.unfenced !== command._tag,
      () => row.mayForget ?? true,
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

const wireHeartbeat = {
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
const wireHeartbeats: readonly { name: string; value: unknown; expect: unknown }[] = [
  {
    name: 'a refused start',
    value: wireHeartbeat,
    expect: { _tag: 'exited', cause: 'noRoom', saved: false },
  },
  {
    name: 'a task in an unknown state occupies its machine',
    value: { ...wireHeartbeat, heads: [{ head: 'job-1/0', try: 1, status: 'dreaming' }] },
    expect: { _tag: 'running' },
  },
  { name: 'a missing session is malformed', value: { ...wireHeartbeat, stint: undefined }, expect: null },
  { name: 'a value that is not a map is malformed', value: [1], expect: null },
];
for (const row of wireHeartbeats) {
  test(`report: ${row.name}`, () =>
    assert.deepEqual(readWorkerHeartbeat(row.value)?.tasks[0]?.state ?? null, row.expect));
}

/** Provisioning requests are durable before they are sent, and a successor finds those that are left open. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { INTENT_REPEAT_WINDOW_MS, settlementsFor } from './provisioning-record.js';
import { readProvisioningRecord } from './provisioning-record-codec.js';
import { ProvisioningJournal } from './provisioning-journal.js';
import type { WriteOutcome } from './fenced-value.js';
import { storedBytes } from './stored-size.js';
import { MemoryValue, type NextWrite } from './testing/memory-value.js';
import { provisioningIntent } from './testing/provisioning-intent.js';
import { tokenOf } from './token.js';

const token = tokenOf(5);
/** bytes: room for every record of these tests. */
const MAX_BYTES = 16 * 1024;

const journalOn = async (
  value: MemoryValue,
  under = token,
  maxBytes = MAX_BYTES,
): Promise<ProvisioningJournal> => {
  const journal = new ProvisioningJournal({
    value,
    maxBytes,
    timeOfDay: () => 0,
    sleep: () => new Promise((resolve) => setImmediate(resolve)),
  });
  assert.ok(await journal.load(under));
  return journal;
};
const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};
const stored = (value: MemoryValue): readonly string[] =>
  value.entry.revision === 0 ? [] : readProvisioningRecord(value.entry.value).open.map(({ name }) => name);

const opened: readonly { name: string; next: NextWrite; outcome: string; durable: readonly string[] }[] = [
  { name: 'written before it is sent', next: 'normal', outcome: 'announced', durable: ['r-5-1'] },
  { name: 'only the answer is lost', next: 'answer lost', outcome: 'announced', durable: ['r-5-1'] },
  { name: 'held up: the same is sent again', next: 'late', outcome: 'announced', durable: ['r-5-1'] },
  { name: 'refused: nothing may be sent', next: 'refused', outcome: 'unavailable', durable: [] },
];
for (const row of opened) {
  test(`provisioning journal: ${row.name}`, async () => {
    const value = new MemoryValue(token);
    const journal = await journalOn(value);
    value.nextWrite = row.next;
    assert.equal(await journal.announce(provisioningIntent('r-5-1')), row.outcome);
    assert.deepEqual(stored(value), row.durable);
    assert.deepEqual(
      value.applyDelayedWrites().map(({ _tag }) => _tag),
      row.next === 'late' ? ['changed'] : [],
      'a late copy changes nothing',
    );
  });
}

test('provisioning journal: requests of one turn share a write, and outcomes go along with the next', async () => {
  const value = new MemoryValue(token);
  const journal = await journalOn(value);
  await Promise.all(['r-5-1', 'r-5-2', 'r-5-3'].map((name) => journal.announce(provisioningIntent(name))));
  assert.equal(value.writes, 1);
  journal.recordOutcome('r-5-1', 'rented', 2);
  journal.recordOutcome('r-5-2', 'no capacity');
  await journal.announce(provisioningIntent('r-5-4'));
  assert.equal(value.writes, 2);
  assert.deepEqual(stored(value), ['r-5-3', 'r-5-4']);
  await settle();
  assert.equal(value.writes, 2, 'nothing is left to say');
});

test('provisioning journal: a replaced holder announces nothing', async () => {
  const value = new MemoryValue(token);
  const journal = await journalOn(value);
  value.claim = tokenOf(9);
  assert.equal(await journal.announce(provisioningIntent('r-5-1')), 'claim lost');
  assert.deepEqual(stored(value), []);
});

test('provisioning journal: what was given up without an answer and applied late is taken back', async () => {
  // Its request was never sent; a successor that found it open would provision machines that nobody asked
  // for.
  const value = new MemoryValue(token);
  const journal = await journalOn(value);
  const write = value.write;
  let tries = 0;
  Object.assign(value, {
    write: (...args: Parameters<typeof write>) => {
      tries += 1;
      if (tries <= 4) value.nextWrite = 'late';
      return write(...args);
    },
  });
  assert.equal(await journal.announce(provisioningIntent('r-5-1')), 'unavailable');
  assert.equal(value.applyDelayedWrites()[0]?._tag, 'written');
  assert.equal(
    await journal.announce(provisioningIntent('r-5-2')),
    'unavailable',
    'the condition failed: read anew',
  );
  assert.equal(await journal.announce(provisioningIntent('r-5-3')), 'announced');
  assert.deepEqual(stored(value), ['r-5-3']);
});

test('provisioning journal: a successor repeats a recent request that was left open, and abandons an older one', async () => {
  const value = new MemoryValue(token);
  await (await journalOn(value)).announce(provisioningIntent('r-5-1', 0));
  value.claim = tokenOf(9);
  const successor = await journalOn(value, tokenOf(9));
  const ages: readonly { now: number; how: string }[] = [
    { now: INTENT_REPEAT_WINDOW_MS, how: 'repeat' },
    { now: INTENT_REPEAT_WINDOW_MS + 1, how: 'abandon' },
    // Its holder's clock was ahead.
    { now: -60_000, how: 'repeat' },
  ];
  for (const { now, how } of ages)
    assert.deepEqual(
      settlementsFor(successor.current, now).map(({ _tag, intent: left }) => [_tag, left.name]),
      [[how, 'r-5-1']],
    );
});

test('provisioning journal: where values are small old outcomes make way, and requests that do not fit wait', async () => {
  // A record that outgrew its value would be refused at every write, and nothing would be provisioned any
  // more.
  const value = new MemoryValue(token);
  const journal = await journalOn(value, token, 600);
  for (let n = 1; n <= 30; n += 1) {
    assert.equal(await journal.announce(provisioningIntent(`r-5-${n}`)), 'announced');
    journal.recordOutcome(`r-5-${n}`, 'rented', 2);
  }
  assert.ok(storedBytes(value.entry.value) <= 600);
  assert.equal(
    readProvisioningRecord(value.entry.value).settled.at(-1)?.name,
    'r-5-29',
    'the newest are kept',
  );
  const outcomes = await Promise.all(
    Array.from({ length: 12 }, (_, n) => journal.announce(provisioningIntent(`r-5-${100 + n}`))),
  );
  const announced = outcomes.filter((outcome) => outcome === 'announced').length;
  assert.ok(announced > 0 && announced < 12, outcomes.join());
  assert.equal(stored(value).length, announced);
  assert.ok(storedBytes(value.entry.value) <= 600);
});

test('provisioning journal: a request that is announced while outcomes fail to be written is not left waiting', async () => {
  // An announcement that no write takes up would keep its kind of machine from being provisioned.
  const value = new MemoryValue(token);
  const journal = await journalOn(value);
  await journal.announce(provisioningIntent('r-5-1'));
  const write = value.write;
  let refuse = (): void => undefined;
  const refused = new Promise<WriteOutcome>((resolve) => {
    refuse = () => resolve({ _tag: 'notCarriedOut', reason: 'status 503' });
  });
  Object.assign(value, { write: () => refused });
  journal.recordOutcome('r-5-1', 'rented', 1);
  await settle();
  const second = journal.announce(provisioningIntent('r-5-2'));
  Object.assign(value, { write });
  refuse();
  assert.equal(await Promise.race([second, settle().then(() => 'left waiting')]), 'announced');
  await settle();
  assert.deepEqual(stored(value), ['r-5-2'], 'and the outcome is written in the end');
});

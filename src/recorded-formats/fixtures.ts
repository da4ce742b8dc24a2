/**
 * Recorded formats: the bytes that version ba59fc1 stores and sends. Stored records and messages outlive the
 * code that wrote them, and two versions run side by side during an upgrade, so renaming identifiers must not
 * change a byte. `recorder.ts` wrote the files under `ba59fc1/` from the output of that version. These files
 * are never edited: the fixtures of a format that has to change go to a new directory beside the old one.
 */
import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { decode, encode } from '../http/msgpack.js';

/** The version whose output is recorded. */
const RECORDED_VERSION = 'ba59fc1';

/** The entries of one recording, by name. */
export type Recording = Readonly<Record<string, unknown>>;

/** A message as it is recorded. */
export interface RecordedMessage {
  /** The message in MessagePack, encoded in base64. */
  readonly bytes: string;
  /** The decoded message, for human readers; fields are in the order of the bytes. */
  readonly json: unknown;
}

/** The fixtures are in the source tree; the compiled tests are in `target/`, two levels below the root. */
const DIRECTORY = new URL(`../../src/recorded-formats/${RECORDED_VERSION}/`, import.meta.url);

/** The file of a recording's fixture. */
export const fixtureFile = (name: string): URL => new URL(`${name}.json`, DIRECTORY);

/** Reads a fixture. */
export const readFixture = (name: string): Recording =>
  JSON.parse(readFileSync(fixtureFile(name), 'utf8')) as Recording;

/** Encodes a value as it is sent. */
export const toRecordedMessage = (value: unknown): RecordedMessage => {
  const bytes = encode(value);
  return { bytes: bytes.toString('base64'), json: decode(bytes) };
};

/** The value of a recorded message, decoded from its bytes. */
export const recordedValue = (fixture: string, entry: string): unknown => {
  const { bytes } = readFixture(fixture)[entry] as RecordedMessage;
  return decode(Buffer.from(bytes, 'base64'));
};

/** Declares tests that compare a recording with its fixture: the names of the entries, then each entry. */
export const compareWithFixture = (name: string, record: () => Promise<Recording>): void => {
  const expected = existsSync(fixtureFile(name)) ? readFixture(name) : {};
  const recording = record();
  test(`${name}: the same entries as ${RECORDED_VERSION}`, async () =>
    assert.deepEqual(Object.keys(await recording), Object.keys(expected)));
  for (const [entry, value] of Object.entries(expected)) {
    test(`${name}: ${entry}, as ${RECORDED_VERSION}`, async () =>
      assert.equal(JSON.stringify((await recording)[entry], null, 1), JSON.stringify(value, null, 1)));
  }
};

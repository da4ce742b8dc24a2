/**
 * Recorded formats: what the version ba59fc1 stores and sends, as bytes. Stored records and messages outlive
 * the code that wrote them, and versions run side by side during an upgrade, so a change of names in the
 * code must not change a byte. The files under `ba59fc1/` were written by `recorder.ts` from that version's
 * own output and no rename ever touches them: a format that has to change gets a new directory beside the
 * old one.
 */
import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { decode, encode } from '../http/msgpack.js';

/** The version whose output is recorded. */
const RECORDED_VERSION = 'ba59fc1';

/** What one recording yields: entries by name. */
export type Recording = Readonly<Record<string, unknown>>;

/** A message as it is sent. */
export interface RecordedMessage {
  /** MessagePack, in base64. */
  readonly bytes: string;
  /** The same for readers; fields stand in the order of the bytes. */
  readonly json: unknown;
}

/** Fixtures lie beside the sources, and the compiled tests in `target/` two levels below the root. */
const DIRECTORY = new URL(`../../src/recorded-formats/${RECORDED_VERSION}/`, import.meta.url);

/** Where the fixture of a recording lies. */
export const fixtureFile = (name: string): URL => new URL(`${name}.json`, DIRECTORY);

/** Reads a fixture. */
export const readFixture = (name: string): Recording =>
  JSON.parse(readFileSync(fixtureFile(name), 'utf8')) as Recording;

/** A value as it is sent. */
export const toRecordedMessage = (value: unknown): RecordedMessage => {
  const bytes = encode(value);
  return { bytes: bytes.toString('base64'), json: decode(bytes) };
};

/** The value of a recorded message, read from its bytes. */
export const recordedValue = (fixture: string, entry: string): unknown => {
  const { bytes } = readFixture(fixture)[entry] as RecordedMessage;
  return decode(Buffer.from(bytes, 'base64'));
};

/** Compares a recording with its fixture, entry by entry, byte by byte. */
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

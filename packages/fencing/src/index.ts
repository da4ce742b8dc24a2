/** Duties with one holder at a time; fencing tokens make late effects of a replaced holder harmless. */
export * from './audit.js';
export * from './clock.js';
export * from './duty-definitions.js';
export * from './duty-state.js';
export * from './duty.js';
export * from './fenced-value.js';
export * from './garbage-collector.js';
export * from './provisioning-journal.js';
export * from './provisioning-record-codec.js';
export * from './provisioning-record.js';
export * from './token.js';
export * from './tombstone-record-codec.js';
export * from './tombstones.js';

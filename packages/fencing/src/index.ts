/** Single duties with fencing tokens: one current holder, and nothing late from a replaced one. */
export * from './audit.js';
export * from './clock.js';
export * from './duties.js';
export * from './duty-state.js';
export * from './duty.js';
export * from './fenced-value.js';
export * from './tombstones.js';
export * from './garbage-collector.js';
export * from './provisioning-intent.js';
export * from './provisioning-journal.js';
export * from './stored-size.js';
export * from './token.js';

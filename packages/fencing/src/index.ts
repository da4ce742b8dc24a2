/** Single duties with fencing tokens: one current holder, and nothing late from a replaced one. */
export * from './audit.js';
export * from './clock.js';
export * from './duties.js';
export * from './duty-state.js';
export * from './duty.js';
export * from './fenced-value.js';
export * from './removal.js';
export * from './remover.js';
export * from './rental-intent.js';
export * from './rental-journal.js';
export * from './stored-size.js';
export * from './token.js';

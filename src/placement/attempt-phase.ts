/**
 * The phases of one attempt of a task, from its bind until evidence that it is gone, and the only transition
 * function between them. No state; only `ShardState.apply` changes the phase of a binding.
 */
import type { ExitCause, TaskState } from '../workers/model.js';

/** One attempt of one task on one machine, from its durable bind until evidence that it is gone. */
export type Phase =
  /** Bound, but the binding is not yet known to be durable: no command may be sent. */
  | { readonly _tag: 'binding' }
  /**
   * The binding is durable; each answer to a heartbeat carries `run` until the worker reports the task or the
   * task is stopped.
   */
  | { readonly _tag: 'bound' }
  | { readonly _tag: 'fetching' }
  | { readonly _tag: 'waiting' }
  | { readonly _tag: 'running' }
  | { readonly _tag: 'saving' }
  /** There is evidence that the attempt is no longer on its machine. */
  | { readonly _tag: 'gone'; readonly how: GoneEvidence };

/** The evidence that an attempt is gone. */
export type GoneEvidence =
  | { readonly _tag: 'exited'; readonly cause: ExitCause; readonly saved: boolean }
  /** A newer heartbeat under the current token does not show the attempt. */
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'newSession' }
  | { readonly _tag: 'released' }
  | { readonly _tag: 'leaseOver' };

/** Events that change the phase of an attempt. */
export type PhaseEvent =
  | { readonly _tag: 'durable' }
  | { readonly _tag: 'reported'; readonly state: TaskState }
  | { readonly _tag: 'lost'; readonly how: GoneEvidence };

/** The phase that follows an event; the phase `gone` is final. */
export const nextPhase = (phase: Phase, event: PhaseEvent): Phase => {
  if (phase._tag === 'gone') return phase;
  switch (event._tag) {
    case 'durable':
      return phase._tag === 'binding' ? { _tag: 'bound' } : phase;
    case 'lost':
      return { _tag: 'gone', how: event.how };
    case 'reported':
      switch (event.state._tag) {
        case 'fetching':
        case 'waiting':
        case 'running':
        case 'saving':
          return { _tag: event.state._tag };
        case 'exited':
          return { _tag: 'gone', how: event.state };
      }
  }
};

/** Whether the worker has reported this attempt and it is not gone. */
export const isOnMachine = (phase: Phase): boolean => {
  switch (phase._tag) {
    case 'fetching':
    case 'waiting':
    case 'running':
    case 'saving':
      return true;
    case 'binding':
    case 'bound':
    case 'gone':
      return false;
  }
};

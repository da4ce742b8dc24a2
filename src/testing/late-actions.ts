/** Finds requests of replaced leaders that had an effect at the cloud. Pure functions of what it recorded. */
import type { CloudAction } from './cloud-stand-in.js';

/** The start of a node's leadership, according to the key-value store. */
export interface LeadershipTerm {
  readonly node: string;
  readonly token: number;
  /** When the leadership started, in ms of the steady clock. */
  readonly from: number;
}

/** A request of a replaced leader that had an effect at the cloud. */
export interface LateAction {
  readonly action: CloudAction;
  readonly holder: LeadershipTerm;
}

/**
 * Finds late actions in the records of the stand-ins: requests of a node that had an effect while the
 * key-value store showed another node as the leader. A release is harmless if the record of each machine had
 * requested it before.
 */
export const findLateActions = (
  actions: readonly CloudAction[],
  tenures: readonly LeadershipTerm[],
  isReleaseRequested: (machine: string, at: number) => boolean,
): readonly LateAction[] =>
  actions.flatMap((action) => {
    const holder = tenures.filter(({ from }) => from <= action.at).at(-1);
    if (!holder || holder.node === action.node || action.machines.length === 0) return [];
    if (
      action.kind === 'release' &&
      action.machines.every((machine) => isReleaseRequested(machine, action.at))
    )
      return [];
    return [{ action, holder }];
  });

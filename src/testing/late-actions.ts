import type { CloudAction } from './cloud-stand-in.js';

/** Who held the leadership from when on, by the state service. */
export interface LeadershipTerm {
  readonly node: string;
  readonly token: number;
  /** ms, steady. */
  readonly from: number;
}

/** A request of a replaced leader that changed something at the cloud. */
export interface LateAction {
  readonly action: CloudAction;
  readonly holder: LeadershipTerm;
}

/**
 * Looks through the stand-ins' logs for late actions: effects of a node at a time when the state service
 * showed another as the leader. A rental is charged to the token in its name; a release is harmless where a
 * record asked for it.
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

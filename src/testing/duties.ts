/** Duties and permits for tests that need a leader but no claims. */
import { tokenOf, type Permit } from '@dalegate/fencing';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { DutyRegistry } from '../duties/duty-registry.js';

/**
 * Creates the duties of a leader that holds its claim permanently under this revision. The leader's lease is
 * in doubt while `mayAct` returns false.
 */
export const leaderDuties = (
  revision: number,
  wall: () => number,
  mayAct: () => boolean = () => true,
): DutyRegistry => {
  const registry = new DutyRegistry({
    leases: {
      claimNames: [LEADER_CLAIM],
      claim: () => ({ node: 'n0', incarnation: '1', revision }),
      heldClaimRevision: () => revision,
      actingClaimRevision: () => (mayAct() ? revision : null),
    },
    timeOfDay: wall,
    enforceFencing: true,
  });
  registry.claimChanged(LEADER_CLAIM);
  return registry;
};

/** A permit to provision that is valid while `isValid` returns true. */
export const permitWhile = (isValid: () => boolean): Permit => ({
  duty: 'rent',
  claim: LEADER_CLAIM,
  token: tokenOf(1),
  mayProceed: isValid,
  end: () => undefined,
});

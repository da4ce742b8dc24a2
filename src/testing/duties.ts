import { tokenOf, type Permit } from '@dalegate/fencing';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { DutyRegistry } from '../duties/duty-registry.js';

/**
 * The duties of a leader that never loses its claim, held under this revision; its lease may be in doubt for
 * a while.
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

/** Leave for one effect, as long as `holds` says so. */
export const permitWhile = (holds: () => boolean): Permit => ({
  duty: 'rent',
  claim: LEADER_CLAIM,
  token: tokenOf(1),
  mayProceed: holds,
  end: () => undefined,
});

import {
  Duty,
  DutyAudit,
  LEADER_DUTIES,
  SHARE_DUTIES,
  tokenOf,
  type AuditEvent,
  type DutyName,
  type FencingToken,
  type LeaderDutyName,
  type ShareDutyName,
} from '@dalegate/fencing';
import { LEADER } from '../claims/claim-decisions.js';
import type { LeaseManager } from '../claims/lease-manager.js';
import { log } from '../log.js';

/** Duties of the leader that have to settle what an earlier holder left open before they act. */
const SETTLED_BY_LEADER: ReadonlySet<DutyName> = new Set(['rent']);

/** What the registry needs of its controller. */
export interface DutyRegistryInput {
  readonly leases: Pick<LeaseManager, 'slots' | 'claim' | 'mine' | 'entitled'>;
  /** ms since the epoch. */
  readonly wall: () => number;
  /** Refuses effects that lost their right; else they are only counted. */
  readonly enforce: boolean;
}

const logAudit = (event: AuditEvent): void => {
  switch (event._tag) {
    case 'holderChanged':
      log.info({ event: 'duty.holder', ...event.period });
      return;
    case 'holderEnded':
      log.info({ event: 'duty.holder_ended', ...event.period });
      return;
    case 'refused':
      log.info({ event: 'duty.refused', ...event.refusal });
  }
};

/** All duties of this controller, kept in step with the claims that the state service shows. */
export class DutyRegistry {
  readonly audit: DutyAudit;
  private readonly duties = new Map<string, Duty>();

  constructor(private readonly input: DutyRegistryInput) {
    this.audit = new DutyAudit(input.wall, logAudit);
    for (const slot of input.leases.slots) {
      for (const name of slot === LEADER ? LEADER_DUTIES : SHARE_DUTIES) this.add(slot, name);
    }
  }

  private add(slot: string, name: DutyName): void {
    const duty = new Duty({
      name,
      claim: slot,
      right: () => this.right(slot),
      audit: this.audit,
      enforce: this.input.enforce,
    });
    this.duties.set(`${slot}/${name}`, duty);
  }

  private right(slot: string): FencingToken | null {
    const revision = this.input.leases.entitled(slot);
    return revision === null ? null : tokenOf(revision);
  }

  private duty(slot: string, name: DutyName): Duty {
    const found = this.duties.get(`${slot}/${name}`);
    if (!found) throw new Error(`no duty ${name} on claim ${slot}`);
    return found;
  }

  /** A duty of the leader. */
  leader(name: LeaderDutyName): Duty {
    return this.duty(LEADER, name);
  }

  /** A duty of the holder of a share. */
  share(slot: number, name: ShareDutyName): Duty {
    return this.duty(String(slot), name);
  }

  /** All duties, for an operator. */
  all(): readonly Duty[] {
    return [...this.duties.values()];
  }

  /** The claim on a slot changed in this node's copy of the shared keys. */
  onClaim(slot: string): void {
    const claim = this.input.leases.claim(slot);
    if (claim) this.audit.holder(slot, tokenOf(claim.version), claim.node, claim.incarnation);
    else this.audit.end(slot, 'lease ended');
    const mine = this.input.leases.mine(slot);
    for (const duty of this.duties.values()) {
      if (duty.claim !== slot) continue;
      if (mine === null) {
        duty.apply({ _tag: 'released' });
        continue;
      }
      const token = tokenOf(mine);
      duty.apply({ _tag: 'claimed', token });
      if (slot === LEADER && !SETTLED_BY_LEADER.has(duty.name)) duty.apply({ _tag: 'settled', token });
    }
  }

  /** The share's state is rebuilt: its duties begin. */
  shareLoaded(slot: number, claim: number): void {
    const token = tokenOf(claim);
    for (const name of SHARE_DUTIES) this.share(slot, name).apply({ _tag: 'settled', token });
  }
}

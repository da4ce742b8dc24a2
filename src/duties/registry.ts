import {
  Duty,
  DutyAudit,
  LEADER_DUTIES,
  SHARD_DUTIES,
  tokenOf,
  type AuditEvent,
  type DutyName,
  type FencingToken,
  type LeaderDutyName,
  type ShardDutyName,
} from '@dalegate/fencing';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import type { LeaseManager } from '../claims/lease-manager.js';
import { log } from '../log.js';

/** Duties of the leader that have to settle what an earlier holder left open before they act. */
const SETTLED_BY_LEADER: ReadonlySet<DutyName> = new Set(['rent']);

/** What the registry needs of its controller. */
export interface DutyRegistryInput {
  readonly leases: Pick<LeaseManager, 'claimNames' | 'claim' | 'ownRevision' | 'actingRevision'>;
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
    for (const claimName of input.leases.claimNames) {
      for (const name of claimName === LEADER_CLAIM ? LEADER_DUTIES : SHARD_DUTIES) this.add(claimName, name);
    }
  }

  private add(claimName: string, name: DutyName): void {
    const duty = new Duty({
      name,
      claim: claimName,
      right: () => this.right(claimName),
      audit: this.audit,
      enforce: this.input.enforce,
    });
    this.duties.set(`${claimName}/${name}`, duty);
  }

  private right(claimName: string): FencingToken | null {
    const revision = this.input.leases.actingRevision(claimName);
    return revision === null ? null : tokenOf(revision);
  }

  private duty(claimName: string, name: DutyName): Duty {
    const found = this.duties.get(`${claimName}/${name}`);
    if (!found) throw new Error(`no duty ${name} on claim ${claimName}`);
    return found;
  }

  /** A duty of the leader. */
  leader(name: LeaderDutyName): Duty {
    return this.duty(LEADER_CLAIM, name);
  }

  /** A duty of the holder of a share. */
  shard(shardId: number, name: ShardDutyName): Duty {
    return this.duty(String(shardId), name);
  }

  /** All duties, for an operator. */
  all(): readonly Duty[] {
    return [...this.duties.values()];
  }

  /** The claim on a slot changed in this node's copy of the shared keys. */
  onClaim(claimName: string): void {
    const claim = this.input.leases.claim(claimName);
    if (claim) this.audit.holder(claimName, tokenOf(claim.revision), claim.node, claim.incarnation);
    else this.audit.end(claimName, 'lease ended');
    const ownRevision = this.input.leases.ownRevision(claimName);
    for (const duty of this.duties.values()) {
      if (duty.claim !== claimName) continue;
      if (ownRevision === null) {
        duty.apply({ _tag: 'released' });
        continue;
      }
      const token = tokenOf(ownRevision);
      duty.apply({ _tag: 'claimed', token });
      if (claimName === LEADER_CLAIM && !SETTLED_BY_LEADER.has(duty.name))
        duty.apply({ _tag: 'settled', token });
    }
  }

  /** The share's state is rebuilt: its duties begin. */
  shardLoaded(shardId: number, claim: number): void {
    const token = tokenOf(claim);
    for (const name of SHARD_DUTIES) this.shard(shardId, name).apply({ _tag: 'settled', token });
  }
}

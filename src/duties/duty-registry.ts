/**
 * The duties of one controller, for the leader's claim and for each shard's.
 *
 * State: {@link DutyRegistry} owns every `Duty` and the audit. The change dispatcher tells it of each claim
 * that changed in the cache, and a shard that it is loaded; subsystems take their duty from it at
 * composition.
 */
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
const LEADER_DUTIES_WITH_SETTLEMENT: ReadonlySet<DutyName> = new Set(['rent']);

/** What the registry needs of its controller. */
export interface DutyRegistryDependencies {
  readonly leases: Pick<LeaseManager, 'claimNames' | 'claim' | 'heldClaimRevision' | 'actingClaimRevision'>;
  /** ms since the epoch. */
  readonly timeOfDay: () => number;
  /** Refuses late effects; else they are only recorded in the audit. */
  readonly enforceFencing: boolean;
}

type DutiesByName<Name extends DutyName> = Readonly<Record<Name, Duty>>;

const logAudit = (event: AuditEvent): void => {
  switch (event._tag) {
    case 'holderChanged':
      log.info({ event: 'duty.holder_changed', ...event.period });
      return;
    case 'holderEnded':
      log.info({ event: 'duty.holder_ended', ...event.period });
      return;
    case 'refused':
      log.info({ event: 'duty.effect_refused', ...event.refusal });
  }
};

/** All duties of this controller, kept in step with the claims that the state service shows. */
export class DutyRegistry {
  readonly audit: DutyAudit;
  private readonly leaderDuties: DutiesByName<LeaderDutyName>;
  private readonly shardDuties: ReadonlyMap<string, DutiesByName<ShardDutyName>>;

  constructor(private readonly dependencies: DutyRegistryDependencies) {
    this.audit = new DutyAudit(dependencies.timeOfDay, logAudit);
    this.leaderDuties = this.createDuties(LEADER_CLAIM, LEADER_DUTIES);
    const shardClaims = dependencies.leases.claimNames.filter((claimName) => claimName !== LEADER_CLAIM);
    this.shardDuties = new Map(
      shardClaims.map((claimName) => [claimName, this.createDuties(claimName, SHARD_DUTIES)]),
    );
  }

  private createDuties<Name extends DutyName>(claimName: string, names: readonly Name[]): DutiesByName<Name> {
    const duties = names.map((name) => [name, this.createDuty(claimName, name)] as const);
    return Object.fromEntries(duties) as Record<Name, Duty>;
  }

  private createDuty(claimName: string, name: DutyName): Duty {
    return new Duty({
      name,
      claim: claimName,
      actingToken: () => this.actingToken(claimName),
      audit: this.audit,
      enforceFencing: this.dependencies.enforceFencing,
    });
  }

  private actingToken(claimName: string): FencingToken | null {
    const revision = this.dependencies.leases.actingClaimRevision(claimName);
    return revision === null ? null : tokenOf(revision);
  }

  /** A duty of the leader. */
  leaderDuty(name: LeaderDutyName): Duty {
    return this.leaderDuties[name];
  }

  /** A duty of the holder of a shard. Throws a RangeError if the deployment has no such shard. */
  shardDuty(shardId: number, name: ShardDutyName): Duty {
    const duties = this.shardDuties.get(String(shardId));
    if (duties === undefined) throw new RangeError(`no duty ${name} on claim ${shardId}`);
    return duties[name];
  }

  /** All duties in the order of their claims, for an operator. */
  list(): readonly Duty[] {
    return this.dependencies.leases.claimNames.flatMap((claimName) => this.dutiesOf(claimName));
  }

  private dutiesOf(claimName: string): readonly Duty[] {
    if (claimName === LEADER_CLAIM) return Object.values(this.leaderDuties);
    return Object.values(this.shardDuties.get(claimName) ?? {});
  }

  /** A claim changed in this controller's copy of the shared keys. */
  claimChanged(claimName: string): void {
    this.auditHolder(claimName);
    const ownRevision = this.dependencies.leases.heldClaimRevision(claimName);
    for (const duty of this.dutiesOf(claimName)) {
      if (ownRevision === null) duty.apply({ _tag: 'released' });
      else this.applyClaim(duty, tokenOf(ownRevision));
    }
  }

  private auditHolder(claimName: string): void {
    const claim = this.dependencies.leases.claim(claimName);
    if (claim) this.audit.recordHolder(claimName, tokenOf(claim.revision), claim.node, claim.incarnation);
    else this.audit.recordHolderEnd(claimName, 'lease ended');
  }

  private applyClaim(duty: Duty, token: FencingToken): void {
    duty.apply({ _tag: 'claimed', token });
    if (duty.claim === LEADER_CLAIM && !LEADER_DUTIES_WITH_SETTLEMENT.has(duty.name))
      duty.apply({ _tag: 'settled', token });
  }

  /** The shard's state has been rebuilt under the claim of this revision: its duties begin. */
  shardLoaded(shardId: number, claimRevision: number): void {
    const token = tokenOf(claimRevision);
    for (const name of SHARD_DUTIES) this.shardDuty(shardId, name).apply({ _tag: 'settled', token });
  }
}

/**
 * Decides which claims this controller takes and which it hands to another. No state: plain data in, plain
 * data out. `claim-keeper.ts` calls it at each check and carries the actions out.
 */
import {
  HANDBACK_STABILITY_MS,
  TAKEOVER_DELAY_PER_HELD_SHARD_MS,
  LEADER_TAKEOVER_RANK_DELAY_MS,
  PREFERRED_HOLDER_GRACE_MS,
  SHARD_TAKEOVER_RANK_DELAY_MS,
} from '../constants/leases.js';

/** The claim on the leadership; every other claim has the id of its shard as its name. */
export const LEADER_CLAIM = 'L';

/** The process that holds a claim. */
export interface ClaimHolder {
  /** The controller's name. */
  readonly node: string;
  /** Tells this process from an earlier one of the same controller. */
  readonly incarnation: string;
}

/** A claim as the watch cache shows it. */
export interface ObservedClaim extends ClaimHolder {
  /** Revision at which it was taken: the holder's fencing token. */
  readonly revision: number;
}

/** What decisions about claims need to know of another controller. */
export interface PeerStatus extends ClaimHolder {
  /** Its lease, to which its claims are attached; null: it has none. */
  readonly lease: number | null;
  /** ms for which it has answered without a gap; negative: it does not answer. */
  readonly steadyMs: number;
  readonly storeReachable: boolean;
  /** It says that workers lately could not reach it. */
  readonly workersUnreachable: boolean;
}

/** The situation in which claims are decided about. */
export interface ClaimsSnapshot {
  /** This process. */
  readonly self: ClaimHolder;
  /** All controllers by name; the order ranks them. */
  readonly controllers: readonly string[];
  readonly claimNames: readonly string[];
  /** The claims that somebody holds, by name. */
  readonly claims: ReadonlyMap<string, ObservedClaim>;
  /** ms, lease clock: when each claim that nobody holds was first seen free. */
  readonly freeSince: ReadonlyMap<string, number>;
  readonly peers: readonly PeerStatus[];
  /** Claims of this process whose workers reach another controller only: by claim name, that controller. */
  readonly unreachableShards: ReadonlyMap<string, string>;
  /** ms, lease clock. */
  readonly now: number;
}

/** A claim to take or to hand on, unless it changed since it was observed (revision 0: it was free). */
export type ClaimAction =
  | { readonly _tag: 'take'; readonly claimName: string; readonly observedRevision: number }
  | {
      readonly _tag: 'hand';
      readonly claimName: string;
      readonly observedRevision: number;
      readonly to: PeerStatus;
    };

/** Do both names stand for the same process? */
export const isSameHolder = (one: ClaimHolder, other: ClaimHolder): boolean =>
  one.node === other.node && one.incarnation === other.incarnation;

/** The controller that a shard is meant for; the leadership is meant for none. */
const preferredHolder = ({ controllers }: ClaimsSnapshot, claimName: string): string | undefined =>
  claimName === LEADER_CLAIM ? undefined : controllers[Number(claimName) % controllers.length];

/** How many shards the controller holds. */
const heldShardCount = ({ claims }: ClaimsSnapshot, controller: string): number =>
  [...claims].filter(([claimName, claim]) => claimName !== LEADER_CLAIM && claim.node === controller).length;

const findPeer = ({ peers }: ClaimsSnapshot, controller: string | undefined): PeerStatus | undefined =>
  peers.find((peer) => peer.node === controller);

/** ms for which this controller leaves a free claim to others. */
const takeoverDelayMs = (situation: ClaimsSnapshot, claimName: string): number => {
  const { self, controllers } = situation;
  const rank = Math.max(0, controllers.indexOf(self.node));
  if (claimName === LEADER_CLAIM) return rank * LEADER_TAKEOVER_RANK_DELAY_MS;
  const preferred = preferredHolder(situation, claimName);
  if (preferred === self.node) return 0;
  const delay =
    heldShardCount(situation, self.node) * TAKEOVER_DELAY_PER_HELD_SHARD_MS +
    rank * SHARD_TAKEOVER_RANK_DELAY_MS;
  // A preferred holder that fell silent is not waited for: the leases of its workers run out meanwhile.
  const silent = (findPeer(situation, preferred)?.steadyMs ?? 0) < 0;
  return silent ? delay : PREFERRED_HOLDER_GRACE_MS + delay;
};

/** Has the claim been free for so long that this controller may take it? */
const mayTakeFree = (situation: ClaimsSnapshot, claimName: string): boolean => {
  const { now, freeSince } = situation;
  return now - (freeSince.get(claimName) ?? now) >= takeoverDelayMs(situation, claimName);
};

/** Is this the claim of an earlier process of this controller? A controller runs one, so that one is dead. */
const isHeldByPredecessor = ({ self }: ClaimsSnapshot, claim: ObservedClaim): boolean =>
  claim.node === self.node && !isSameHolder(claim, self);

const claimsToTake = (situation: ClaimsSnapshot): readonly ClaimAction[] =>
  situation.claimNames.flatMap((claimName): readonly ClaimAction[] => {
    const claim = situation.claims.get(claimName);
    const take = claim ? isHeldByPredecessor(situation, claim) : mayTakeFree(situation, claimName);
    return take ? [{ _tag: 'take', claimName, observedRevision: claim?.revision ?? 0 }] : [];
  });

/** Can the peer hold a claim: does it answer, has it a lease, and does it reach the store? */
const canHoldClaims = (peer: PeerStatus): boolean =>
  peer.storeReachable && peer.lease !== null && peer.steadyMs >= 0;

/** A shard whose workers reach another controller only goes to that controller. */
const unreachableShardHandovers = (situation: ClaimsSnapshot): readonly ClaimAction[] =>
  [...situation.unreachableShards].flatMap(([claimName, controller]): readonly ClaimAction[] => {
    const claim = situation.claims.get(claimName);
    if (!claim || !isSameHolder(claim, situation.self)) return [];
    const to = findPeer(situation, controller);
    return to && canHoldClaims(to) ? [{ _tag: 'hand', claimName, observedRevision: claim.revision, to }] : [];
  });

/** The preferred holder of a shard, if it holds none and has been up long enough to be handed this one. */
const handbackTarget = (situation: ClaimsSnapshot, claimName: string): PeerStatus | undefined => {
  const preferred = preferredHolder(situation, claimName);
  if (preferred === undefined || preferred === situation.self.node) return undefined;
  if (heldShardCount(situation, preferred) > 0) return undefined;
  const peer = findPeer(situation, preferred);
  const steady =
    peer && canHoldClaims(peer) && !peer.workersUnreachable && peer.steadyMs >= HANDBACK_STABILITY_MS;
  return steady ? peer : undefined;
};

/** Teams stay divided among the controllers: one with several shards hands one back at a time. */
const preferredHolderHandback = (situation: ClaimsSnapshot): readonly ClaimAction[] => {
  if (heldShardCount(situation, situation.self.node) <= 1) return [];
  for (const claimName of situation.claimNames) {
    const claim = situation.claims.get(claimName);
    if (!claim || !isSameHolder(claim, situation.self)) continue;
    const to = handbackTarget(situation, claimName);
    if (to) return [{ _tag: 'hand', claimName, observedRevision: claim.revision, to }];
  }
  return [];
};

/** The claims that this controller should take or hand to another now. */
export const decideClaims = (situation: ClaimsSnapshot): readonly ClaimAction[] => [
  ...claimsToTake(situation),
  ...unreachableShardHandovers(situation),
  ...(situation.unreachableShards.size > 0 ? [] : preferredHolderHandback(situation)),
];

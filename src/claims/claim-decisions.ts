import {
  HANDBACK_STABILITY_MS,
  HELD_SHARD_DELAY_MS,
  LEADER_RANK_DELAY_MS,
  PREFERRED_HOLDER_GRACE_MS,
  SHARD_RANK_DELAY_MS,
} from '../constants/leases.js';

/** Which claims to take or hand back. Plain data in, plain data out. */
export const LEADER = 'L';

/** Which process holds a slot. */
export interface Claim {
  readonly node: string;
  /** Tells this process from an earlier one of the same node. */
  readonly incarnation: string;
}
/** A claim as the watch cache shows it, with the revision at which it was taken. */
export interface SeenClaim extends Claim {
  readonly version: number;
}
/** What the claims need to know of another controller. */
export interface Peer {
  readonly node: string;
  readonly incarnation: string;
  readonly lease: number | null;
  /** ms for which it has answered without a gap; negative: it does not answer. */
  readonly steadyMs: number;
  readonly stateOk: boolean;
  /** It says that workers lately could not reach it. */
  readonly deaf: boolean;
}
/** Everything that a decision about claims looks at. */
export interface ClaimsView {
  readonly me: Claim;
  readonly nodes: readonly string[];
  readonly slots: readonly string[];
  readonly claims: ReadonlyMap<string, SeenClaim>;
  /** When each slot without a claim was first seen without (ms). */
  readonly freeSince: ReadonlyMap<string, number>;
  readonly peers: readonly Peer[];
  /** Shares of ours whose workers reach another node but not us: by slot, that node. */
  readonly unheard: ReadonlyMap<string, string>;
  /** Workers lately could not reach this node: it leaves shares to others as long as they take them. */
  readonly deaf: boolean;
  readonly now: number;
}
/** A claim to take, or to hand to another controller. */
export type ClaimAction =
  | { readonly _tag: 'take'; readonly slot: string; readonly version: number }
  | { readonly _tag: 'hand'; readonly slot: string; readonly version: number; readonly to: Peer };

const preferred = (view: ClaimsView, slot: string): string | undefined =>
  slot === LEADER ? undefined : view.nodes[Number(slot) % view.nodes.length];

/** How many shares the node holds, the leadership aside. */
const heldBy = (view: ClaimsView, node: string): number =>
  [...view.claims].filter(([slot, claim]) => slot !== LEADER && claim.node === node).length;

const isMine = (view: ClaimsView, claim: SeenClaim): boolean =>
  claim.node === view.me.node && claim.incarnation === view.me.incarnation;

/** ms that this node leaves a free claim to others. */
const patienceMs = (view: ClaimsView, slot: string): number => {
  const rank = Math.max(0, view.nodes.indexOf(view.me.node));
  if (slot === LEADER) return rank * LEADER_RANK_DELAY_MS;
  const owner = preferred(view, slot);
  if (owner === view.me.node) return 0;
  const pause = heldBy(view, view.me.node) * HELD_SHARD_DELAY_MS + rank * SHARD_RANK_DELAY_MS;
  // One that fell silent is not waited for: the leases of its workers run out meanwhile.
  const silent = view.peers.some((peer) => peer.node === owner && peer.steadyMs < 0);
  return silent ? pause : PREFERRED_HOLDER_GRACE_MS + pause;
};

/** Free claims, and those of an earlier process of this node: a node runs one process, so that one is dead. */
const claimsToTake = (view: ClaimsView): readonly ClaimAction[] =>
  view.slots.flatMap((slot): readonly ClaimAction[] => {
    const claim = view.claims.get(slot);
    if (claim) {
      const predecessor = claim.node === view.me.node && !isMine(view, claim);
      return predecessor ? [{ _tag: 'take', slot, version: claim.version }] : [];
    }
    const waited = view.now - (view.freeSince.get(slot) ?? view.now);
    return waited >= patienceMs(view, slot) ? [{ _tag: 'take', slot, version: 0 }] : [];
  });

/** Shares of ours whose workers reach only another node go there. */
const claimsUnheard = (view: ClaimsView): readonly ClaimAction[] =>
  [...view.unheard].flatMap(([slot, node]): readonly ClaimAction[] => {
    const claim = view.claims.get(slot);
    const to = view.peers.find((peer) => peer.node === node);
    const able = to?.stateOk && to.lease !== null && to.steadyMs >= 0;
    return claim && isMine(view, claim) && able ? [{ _tag: 'hand', slot, version: claim.version, to }] : [];
  });

/** Teams stay divided among controllers: a node with several shares hands one to its steady, empty preferred node. */
const claimToHandBack = (view: ClaimsView): readonly ClaimAction[] => {
  if (heldBy(view, view.me.node) <= 1) return [];
  for (const slot of view.slots) {
    const claim = view.claims.get(slot);
    const owner = preferred(view, slot);
    if (!claim || !isMine(view, claim) || owner === undefined || owner === view.me.node) continue;
    if (heldBy(view, owner) > 0) continue;
    const to = view.peers.find((peer) => peer.node === owner);
    if (to && !to.deaf && to.stateOk && to.lease !== null && to.steadyMs >= HANDBACK_STABILITY_MS)
      return [{ _tag: 'hand', slot, version: claim.version, to }];
  }
  return [];
};

/** The claims that this node should take or hand on now. */
export const decideClaims = (view: ClaimsView): readonly ClaimAction[] => [
  ...claimsToTake(view),
  ...claimsUnheard(view),
  ...(view.unheard.size > 0 ? [] : claimToHandBack(view)),
];

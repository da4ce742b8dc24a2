import {
  HANDBACK_STABILITY_MS,
  HELD_SHARD_DELAY_MS,
  LEADER_RANK_DELAY_MS,
  PREFERRED_HOLDER_GRACE_MS,
  SHARD_RANK_DELAY_MS,
} from '../constants/leases.js';

/** Which claims to take or hand back. Plain data in, plain data out. */
export const LEADER_CLAIM = 'L';

/** Which process holds a slot. */
export interface ClaimHolder {
  readonly node: string;
  /** Tells this process from an earlier one of the same node. */
  readonly incarnation: string;
}
/** A claim as the watch cache shows it, with the revision at which it was taken. */
export interface ObservedClaim extends ClaimHolder {
  readonly version: number;
}
/** What the claims need to know of another controller. */
export interface PeerStatus {
  readonly node: string;
  readonly incarnation: string;
  readonly lease: number | null;
  /** ms for which it has answered without a gap; negative: it does not answer. */
  readonly steadyMs: number;
  readonly storeReachable: boolean;
  /** It says that workers lately could not reach it. */
  readonly workersUnreachable: boolean;
}
/** Everything that a decision about claims looks at. */
export interface ClaimsView {
  readonly me: ClaimHolder;
  readonly nodes: readonly string[];
  readonly claimNames: readonly string[];
  readonly claims: ReadonlyMap<string, ObservedClaim>;
  /** When each slot without a claim was first seen without (ms). */
  readonly freeSince: ReadonlyMap<string, number>;
  readonly peers: readonly PeerStatus[];
  /** Shares of ours whose workers reach another node but not us: by slot, that node. */
  readonly unreachableShards: ReadonlyMap<string, string>;
  /** Workers lately could not reach this node: it leaves shares to others as long as they take them. */
  readonly workersUnreachable: boolean;
  readonly now: number;
}
/** A claim to take, or to hand to another controller. */
export type ClaimAction =
  | { readonly _tag: 'take'; readonly claimName: string; readonly version: number }
  | { readonly _tag: 'hand'; readonly claimName: string; readonly version: number; readonly to: PeerStatus };

const preferred = (view: ClaimsView, claimName: string): string | undefined =>
  claimName === LEADER_CLAIM ? undefined : view.nodes[Number(claimName) % view.nodes.length];

/** How many shares the node holds, the leadership aside. */
const heldBy = (view: ClaimsView, node: string): number =>
  [...view.claims].filter(([claimName, claim]) => claimName !== LEADER_CLAIM && claim.node === node).length;

const isMine = (view: ClaimsView, claim: ObservedClaim): boolean =>
  claim.node === view.me.node && claim.incarnation === view.me.incarnation;

/** ms that this node leaves a free claim to others. */
const patienceMs = (view: ClaimsView, claimName: string): number => {
  const rank = Math.max(0, view.nodes.indexOf(view.me.node));
  if (claimName === LEADER_CLAIM) return rank * LEADER_RANK_DELAY_MS;
  const owner = preferred(view, claimName);
  if (owner === view.me.node) return 0;
  const pause = heldBy(view, view.me.node) * HELD_SHARD_DELAY_MS + rank * SHARD_RANK_DELAY_MS;
  // One that fell silent is not waited for: the leases of its workers run out meanwhile.
  const silent = view.peers.some((peer) => peer.node === owner && peer.steadyMs < 0);
  return silent ? pause : PREFERRED_HOLDER_GRACE_MS + pause;
};

/**
 * Free claims, and those of an earlier process of this node: a node runs one process, so that one is dead.
 */
const claimsToTake = (view: ClaimsView): readonly ClaimAction[] =>
  view.claimNames.flatMap((claimName): readonly ClaimAction[] => {
    const claim = view.claims.get(claimName);
    if (claim) {
      const predecessor = claim.node === view.me.node && !isMine(view, claim);
      return predecessor ? [{ _tag: 'take', claimName, version: claim.version }] : [];
    }
    const waited = view.now - (view.freeSince.get(claimName) ?? view.now);
    return waited >= patienceMs(view, claimName) ? [{ _tag: 'take', claimName, version: 0 }] : [];
  });

/** Shares of ours whose workers reach only another node go there. */
const claimsOfUnreachableShards = (view: ClaimsView): readonly ClaimAction[] =>
  [...view.unreachableShards].flatMap(([claimName, node]): readonly ClaimAction[] => {
    const claim = view.claims.get(claimName);
    const to = view.peers.find((peer) => peer.node === node);
    const able = to?.storeReachable && to.lease !== null && to.steadyMs >= 0;
    return claim && isMine(view, claim) && able
      ? [{ _tag: 'hand', claimName, version: claim.version, to }]
      : [];
  });

/**
 * Teams stay divided among controllers: a node with several shares hands one to its steady, empty preferred
 * node.
 */
const claimToHandBack = (view: ClaimsView): readonly ClaimAction[] => {
  if (heldBy(view, view.me.node) <= 1) return [];
  for (const claimName of view.claimNames) {
    const claim = view.claims.get(claimName);
    const owner = preferred(view, claimName);
    if (!claim || !isMine(view, claim) || owner === undefined || owner === view.me.node) continue;
    if (heldBy(view, owner) > 0) continue;
    const to = view.peers.find((peer) => peer.node === owner);
    if (
      to &&
      !to.workersUnreachable &&
      to.storeReachable &&
      to.lease !== null &&
      to.steadyMs >= HANDBACK_STABILITY_MS
    )
      return [{ _tag: 'hand', claimName, version: claim.version, to }];
  }
  return [];
};

/** The claims that this node should take or hand on now. */
export const decideClaims = (view: ClaimsView): readonly ClaimAction[] => [
  ...claimsToTake(view),
  ...claimsOfUnreachableShards(view),
  ...(view.unreachableShards.size > 0 ? [] : claimToHandBack(view)),
];

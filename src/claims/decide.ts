import { CLAIM_GRACE_MS, HANDBACK_STABLE_MS } from '../constants.js';

/** Which claims to take or hand back. Plain data in, plain data out. */
export const LEADER = 'L';

export interface Claim {
  readonly node: string;
  /** Tells this process from an earlier one of the same node. */
  readonly incarnation: string;
}
export interface SeenClaim extends Claim {
  readonly version: number;
}
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
export type ClaimAction =
  | { readonly _tag: 'take'; readonly slot: string; readonly version: number }
  | { readonly _tag: 'hand'; readonly slot: string; readonly version: number; readonly to: Peer };

const preferred = (view: ClaimsView, slot: string): string | undefined =>
  slot === LEADER ? undefined : view.nodes[Number(slot) % view.nodes.length];

export const decideClaims = (view: ClaimsView): readonly ClaimAction[] => {
  const actions: ClaimAction[] = [];
  const held = (node: string): number =>
    [...view.claims].filter(([slot, claim]) => slot !== LEADER && claim.node === node).length;
  const mine = (claim: SeenClaim): boolean =>
    claim.node === view.me.node && claim.incarnation === view.me.incarnation;
  const rank = Math.max(0, view.nodes.indexOf(view.me.node));

  for (const slot of view.slots) {
    const claim = view.claims.get(slot);
    if (claim && mine(claim)) continue;
    if (claim) {
      // An earlier process of this node held it: one process a node, so that one is dead.
      if (claim.node === view.me.node) actions.push({ _tag: 'take', slot, version: claim.version });
      continue;
    }
    const waited = view.now - (view.freeSince.get(slot) ?? view.now);
    const patience =
      slot === LEADER
        ? rank * 250
        : preferred(view, slot) === view.me.node
          ? 0
          : CLAIM_GRACE_MS + held(view.me.node) * 500 + rank * 150;
    if (waited >= patience) actions.push({ _tag: 'take', slot, version: 0 });
  }

  for (const [slot, node] of view.unheard) {
    const claim = view.claims.get(slot);
    const to = view.peers.find((sibling) => sibling.node === node);
    if (claim && mine(claim) && to?.stateOk && to.lease !== null && to.steadyMs >= 0) {
      actions.push({ _tag: 'hand', slot, version: claim.version, to });
    }
  }
  if (view.unheard.size > 0) return actions;

  // Teams stay divided among controllers: a node with several shares hands one to its steady, empty owner.
  if (held(view.me.node) > 1) {
    for (const slot of view.slots) {
      const claim = view.claims.get(slot);
      const owner = preferred(view, slot);
      if (!claim || !mine(claim) || owner === undefined || owner === view.me.node || held(owner) > 0)
        continue;
      const to = view.peers.find((sibling) => sibling.node === owner);
      if (to && !to.deaf && to.stateOk && to.lease !== null && to.steadyMs >= HANDBACK_STABLE_MS) {
        actions.push({ _tag: 'hand', slot, version: claim.version, to });
        break;
      }
    }
  }
  return actions;
};

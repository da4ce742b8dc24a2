/**
 * Decides which claims this controller takes and which it hands over to another controller. Pure functions
 * without state; `claim-reconciler.ts` calls them at each check and carries out the actions.
 */
import {
  HANDBACK_STABILITY_MS,
  TAKEOVER_DELAY_PER_HELD_SHARD_MS,
  LEADER_TAKEOVER_RANK_DELAY_MS,
  PREFERRED_HOLDER_GRACE_MS,
  SHARD_TAKEOVER_RANK_DELAY_MS,
} from '../constants/leases.js';

/** The name of the claim on the leadership. The name of every other claim is the id of its shard. */
export const LEADER_CLAIM = 'L';

/** The process that holds a claim. */
export interface ClaimHolder {
  /** The controller's name. */
  readonly node: string;
  /** Distinguishes this process from earlier processes of the same controller. */
  readonly incarnation: string;
}

/** A claim as the watch cache shows it. */
export interface ObservedClaim extends ClaimHolder {
  /** The revision of the key-value store at which the claim was written; the holder's fencing token. */
  readonly revision: number;
}

/** The state of another controller, as far as decisions about claims depend on it. */
export interface PeerStatus extends ClaimHolder {
  /** The id of the peer's lease, to which its claims are attached; null: the peer has no lease. */
  readonly lease: number | null;
  /**
   * ms for which the peer has sent heartbeats without a gap longer than `MAX_STEADY_HEARTBEAT_GAP_MS`;
   * negative: no recent heartbeat was received.
   */
  readonly steadyMs: number;
  /** Whether the peer reports that it can reach the key-value store. */
  readonly storeReachable: boolean;
  /** Whether the peer reports that workers could not reach it recently. */
  readonly workersUnreachable: boolean;
}

/** The claims, peers and timers on which `decideClaims` bases its decision. */
export interface ClaimsSnapshot {
  /** This process. */
  readonly self: ClaimHolder;
  /**
   * The names of all controllers, this one included, in alphabetical order. The index of a name is the rank
   * of that controller.
   */
  readonly controllers: readonly string[];
  readonly claimNames: readonly string[];
  /** The claims that have a holder, by name. */
  readonly claims: ReadonlyMap<string, ObservedClaim>;
  /**
   * Maps the name of each claim without a holder to the time at which this controller first saw the claim
   * free (ms, lease clock).
   */
  readonly freeSince: ReadonlyMap<string, number>;
  readonly peers: readonly PeerStatus[];
  /**
   * Maps the claim name of each shard held here whose workers reach only another controller to the name of
   * that controller.
   */
  readonly unreachableShards: ReadonlyMap<string, string>;
  /** The time of the snapshot (ms, lease clock). */
  readonly now: number;
}

/**
 * The action of taking a claim or of handing a claim over to a peer. The action is carried out only if the
 * claim still has the observed revision, which is 0 if the claim was free.
 */
export type ClaimAction =
  | { readonly _tag: 'take'; readonly claimName: string; readonly observedRevision: number }
  | {
      readonly _tag: 'hand';
      readonly claimName: string;
      readonly observedRevision: number;
      readonly to: PeerStatus;
    };

/** Whether both holders are the same process. */
export const isSameHolder = (first: ClaimHolder, second: ClaimHolder): boolean =>
  first.node === second.node && first.incarnation === second.incarnation;

/** The preferred holder of a shard's claim; undefined for the leadership, which has none. */
const preferredHolder = ({ controllers }: ClaimsSnapshot, claimName: string): string | undefined =>
  claimName === LEADER_CLAIM ? undefined : controllers[Number(claimName) % controllers.length];

/** The number of shards that the controller holds. */
const heldShardCount = ({ claims }: ClaimsSnapshot, controller: string): number =>
  [...claims].filter(([claimName, claim]) => claimName !== LEADER_CLAIM && claim.node === controller).length;

const findPeer = ({ peers }: ClaimsSnapshot, controller: string | undefined): PeerStatus | undefined =>
  peers.find((peer) => peer.node === controller);

/** ms for which a claim must have been free before this controller takes it. */
const takeoverDelayMs = (snapshot: ClaimsSnapshot, claimName: string): number => {
  const { self, controllers } = snapshot;
  const rank = Math.max(0, controllers.indexOf(self.node));
  if (claimName === LEADER_CLAIM) return rank * LEADER_TAKEOVER_RANK_DELAY_MS;
  const preferred = preferredHolder(snapshot, claimName);
  if (preferred === self.node) return 0;
  const delay =
    heldShardCount(snapshot, self.node) * TAKEOVER_DELAY_PER_HELD_SHARD_MS +
    rank * SHARD_TAKEOVER_RANK_DELAY_MS;
  // This controller does not wait for a preferred holder that sends no heartbeats: the leases of the shard's
  // workers would expire in the meantime.
  const preferredIsSilent = (findPeer(snapshot, preferred)?.steadyMs ?? 0) < 0;
  return preferredIsSilent ? delay : PREFERRED_HOLDER_GRACE_MS + delay;
};

/** Whether the claim has been free long enough for this controller to take it. */
const mayTakeFree = (snapshot: ClaimsSnapshot, claimName: string): boolean => {
  const { now, freeSince } = snapshot;
  return now - (freeSince.get(claimName) ?? now) >= takeoverDelayMs(snapshot, claimName);
};

/**
 * Whether an earlier process of this controller holds the claim. A controller runs one process at a time, so
 * the earlier process has ended.
 */
const isHeldByPredecessor = ({ self }: ClaimsSnapshot, claim: ObservedClaim): boolean =>
  claim.node === self.node && !isSameHolder(claim, self);

const claimsToTake = (snapshot: ClaimsSnapshot): readonly ClaimAction[] =>
  snapshot.claimNames.flatMap((claimName): readonly ClaimAction[] => {
    const claim = snapshot.claims.get(claimName);
    const take = claim ? isHeldByPredecessor(snapshot, claim) : mayTakeFree(snapshot, claimName);
    return take ? [{ _tag: 'take', claimName, observedRevision: claim?.revision ?? 0 }] : [];
  });

/** Whether the peer can hold claims: it reaches the key-value store, has a lease and sends heartbeats. */
const canHoldClaims = (peer: PeerStatus): boolean =>
  peer.storeReachable && peer.lease !== null && peer.steadyMs >= 0;

/**
 * Returns a handover for each shard held here whose workers reach only another controller, if that controller
 * can hold claims.
 */
const unreachableShardHandovers = (snapshot: ClaimsSnapshot): readonly ClaimAction[] =>
  [...snapshot.unreachableShards].flatMap(([claimName, controller]): readonly ClaimAction[] => {
    const claim = snapshot.claims.get(claimName);
    if (!claim || !isSameHolder(claim, snapshot.self)) return [];
    const to = findPeer(snapshot, controller);
    return to && canHoldClaims(to) ? [{ _tag: 'hand', claimName, observedRevision: claim.revision, to }] : [];
  });

/**
 * Returns the preferred holder of a shard, if that is another controller that holds no shard, can hold
 * claims, does not report that workers could not reach it, and has sent heartbeats without a gap for at least
 * `HANDBACK_STABILITY_MS`; else undefined.
 */
const handbackTarget = (snapshot: ClaimsSnapshot, claimName: string): PeerStatus | undefined => {
  const preferred = preferredHolder(snapshot, claimName);
  if (preferred === undefined || preferred === snapshot.self.node) return undefined;
  if (heldShardCount(snapshot, preferred) > 0) return undefined;
  const peer = findPeer(snapshot, preferred);
  const eligible =
    peer && canHoldClaims(peer) && !peer.workersUnreachable && peer.steadyMs >= HANDBACK_STABILITY_MS;
  return eligible ? peer : undefined;
};

/**
 * Returns the handback of one shard to its preferred holder, if this controller holds several shards. Handing
 * back one shard at each check gradually spreads the teams over the controllers again.
 */
const preferredHolderHandback = (snapshot: ClaimsSnapshot): readonly ClaimAction[] => {
  if (heldShardCount(snapshot, snapshot.self.node) <= 1) return [];
  for (const claimName of snapshot.claimNames) {
    const claim = snapshot.claims.get(claimName);
    if (!claim || !isSameHolder(claim, snapshot.self)) continue;
    const to = handbackTarget(snapshot, claimName);
    if (to) return [{ _tag: 'hand', claimName, observedRevision: claim.revision, to }];
  }
  return [];
};

/** Returns the actions for the claims that this controller takes or hands over to another controller now. */
export const decideClaims = (snapshot: ClaimsSnapshot): readonly ClaimAction[] => [
  ...claimsToTake(snapshot),
  ...unreachableShardHandovers(snapshot),
  ...(snapshot.unreachableShards.size > 0 ? [] : preferredHolderHandback(snapshot)),
];

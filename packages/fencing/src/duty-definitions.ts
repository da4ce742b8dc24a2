/**
 * The duties of a deployment, and every effect that each duty has outside its process. A duty belongs to a
 * claim in the key-value store; all duties of one claim share its holder and its fencing token.
 *
 * The names of duties and effects and the texts on late effects appear unchanged in answers of the
 * administration API and in logs. Pure data.
 */

/** How a late effect of a replaced holder is made harmless. */
export type Fence =
  /** The effect is a transaction with the claim among its conditions: the key-value store refuses it. */
  | 'conditional'
  /** The receiver compares tokens, and refuses one below the highest that it has seen. */
  | 'receiver'
  /**
   * The receiver cannot compare tokens: a durable intent is written first, and no later holder contradicts
   * it.
   */
  | 'intent';

/** One kind of effect of a duty. */
export interface EffectDefinition {
  readonly name: string;
  readonly fence: Fence;
  /** Why a late or repeated copy is refused or harmless. */
  readonly late: string;
}

/** The claim that a duty belongs to: the leader's, or that of each shard. */
export type ClaimKind = 'leader' | 'shard';

/** The claim and the effects of one duty. */
export interface DutyDefinition {
  readonly claim: ClaimKind;
  readonly effects: readonly EffectDefinition[];
}

/** Duties that belong to the leader's claim. */
export const LEADER_DUTIES = [
  'rent',
  'release',
  'adopt',
  'move',
  'reserve',
  'catalog',
  'protocol-level',
] as const;
/** The name of a duty of the leader. */
export type LeaderDutyName = (typeof LEADER_DUTIES)[number];

/** Duties that belong to the claim of each shard. */
export const SHARD_DUTIES = ['reclaim', 'clean-up', 'preempt'] as const;
/** The name of a duty of the holder of a shard. */
export type ShardDutyName = (typeof SHARD_DUTIES)[number];

/** Names of all duties. */
export const DUTY_NAMES = [...LEADER_DUTIES, ...SHARD_DUTIES] as const;
/** The name of a duty. */
export type DutyName = (typeof DUTY_NAMES)[number];

const conditional = (name: string): EffectDefinition => ({
  name,
  fence: 'conditional',
  late: 'refused: the claim is among the conditions of the transaction',
});

/** All duties with their effects. */
export const DUTY_DEFINITIONS: Readonly<Record<DutyName, DutyDefinition>> = {
  rent: {
    claim: 'leader',
    effects: [
      conditional('rental intent'),
      {
        name: 'rental request',
        fence: 'intent',
        late: 'its name is in the intent; the successor repeats or abandons it, and a repeat rents nothing',
      },
      conditional('machine record'),
    ],
  },
  release: {
    claim: 'leader',
    effects: [
      {
        name: 'release request',
        fence: 'intent',
        late: 'the machine record asks for the release, and no holder places a task there again',
      },
      conditional('removal of machine records'),
    ],
  },
  adopt: { claim: 'leader', effects: [conditional('machine record')] },
  move: {
    claim: 'leader',
    effects: [
      {
        name: 'order to the holder of a share',
        fence: 'receiver',
        late: 'refused: the holder has seen a higher token of the leader',
      },
    ],
  },
  reserve: {
    claim: 'leader',
    effects: [
      {
        name: 'reservation in heartbeats',
        fence: 'receiver',
        late: 'read only from the node that the state service shows as the leader',
      },
    ],
  },
  catalog: { claim: 'leader', effects: [conditional('catalog')] },
  'protocol-level': { claim: 'leader', effects: [conditional('agreed protocol level')] },
  reclaim: {
    claim: 'shard',
    effects: [
      conditional('release intent in the machine record'),
      {
        name: 'order to return machines at once',
        fence: 'receiver',
        late: 'refused: the leader has seen a higher token of the share',
      },
    ],
  },
  'clean-up': {
    claim: 'shard',
    effects: [conditional('mark for removal'), conditional('removal under the revision of each key')],
  },
  preempt: {
    claim: 'shard',
    effects: [
      {
        name: 'stop command',
        fence: 'receiver',
        late: 'refused by the worker: it has seen a higher token',
      },
    ],
  },
};

/** Returns the name of a duty if the text is one; null if no duty has that name. */
export const parseDutyName = (text: string): DutyName | null =>
  DUTY_NAMES.find((name) => name === text) ?? null;

/**
 * The duties of a deployment, and every effect that each has outside its process. A duty hangs on a claim in
 * the state service; all duties on one claim share its holder and its fencing token.
 *
 * The names of duties and effects and the texts on late effects appear in answers of the administration API
 * and in logs as they stand here. Pure data.
 */

/** How a late effect of a replaced holder is kept from doing harm. */
export type Fence =
  /** A transaction with the claim among its conditions: the state service refuses it. */
  | 'conditional'
  /** The receiver compares tokens, and refuses lower ones than it has seen. */
  | 'receiver'
  /** The receiver cannot check: a durable intent comes first, which no later holder contradicts. */
  | 'intent';

/** One kind of effect of a duty. */
export interface EffectDefinition {
  readonly name: string;
  readonly fence: Fence;
  /** Why a late or repeated copy is refused or harmless. */
  readonly late: string;
}

/** Which claim a duty hangs on: that of the leader, or that of each shard. */
export type ClaimKind = 'leader' | 'shard';

/** A duty. */
export interface DutyDefinition {
  readonly claim: ClaimKind;
  readonly effects: readonly EffectDefinition[];
}

/** Duties that hang on the leader's claim. */
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

/** Duties that hang on the claim of each shard. */
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

/** Reads a duty's name; null: there is none of that name. */
export const parseDutyName = (text: string): DutyName | null =>
  DUTY_NAMES.find((name) => name === text) ?? null;

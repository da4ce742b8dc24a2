/** Tests the stage that each event leads to, and that no stage follows the loss of the claim. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextStage, ShardStage, type Stage, type StageEvent } from './shard-stage.js';

/** For every stage and event the stage that follows; null: the event does not apply to the stage. */
const transitions: Readonly<Record<Stage, Readonly<Record<StageEvent, Stage | null>>>> = {
  loading: { loaded: 'rebuilding', rebuilt: null, lost: 'lost' },
  rebuilding: { loaded: null, rebuilt: 'placing', lost: 'lost' },
  placing: { loaded: null, rebuilt: null, lost: 'lost' },
  lost: { loaded: null, rebuilt: null, lost: null },
};

/** Events that bring a new shard to a stage. */
const eventsLeadingTo: Readonly<Record<Stage, readonly StageEvent[]>> = {
  loading: [],
  rebuilding: ['loaded'],
  placing: ['loaded', 'rebuilt'],
  lost: ['lost'],
};

for (const stage of Object.keys(transitions) as Stage[]) {
  for (const event of Object.keys(transitions[stage]) as StageEvent[]) {
    const expected = transitions[stage][event];
    test(`shard stage: ${event} at ${stage} ${expected === null ? 'changes nothing' : `is ${expected}`}`, () => {
      assert.equal(nextStage(stage, event), expected);
      const shardStage = new ShardStage({ shardId: 1, claim: 2 });
      for (const step of eventsLeadingTo[stage]) shardStage.apply(step);
      shardStage.apply(event);
      assert.equal(shardStage.current, expected ?? stage);
    });
  }
}

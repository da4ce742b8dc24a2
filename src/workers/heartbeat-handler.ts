/**
 * Answers worker heartbeats: those of machines in this controller's shards with commands, and the others with
 * a redirect to the responsible controller. Passes machines without a record to the leader for adoption. The
 * router calls it for each worker heartbeat.
 */
import { readClaim } from '../claims/codec.js';
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { MAX_HEARTBEAT_RESPONSE_DELAY_MS } from '../constants/workers.js';
import { readMachineRecord } from '../fleet/machine-record-codec.js';
import type { ServerResponse } from '../http/model.js';
import { claimKey, machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { readWorkerHeartbeat, writeCommands, writeRedirect } from './codec.js';
import type { Command, WorkerHeartbeat } from './model.js';

/** What the handler needs of a shard that this controller holds. */
interface ReportingShard {
  /**
   * Records a heartbeat. `awaitRound`: whether the next placement round may have commands for the machine.
   * Null: the machine is not in the shard, or the heartbeat is older than one already seen or names a higher
   * token than the shard's.
   */
  onHeartbeat(heartbeat: WorkerHeartbeat): { readonly awaitRound: boolean } | null;
  /** Resolves when the binds of the next whole placement round are durable, or after `ms`. */
  nextRound(machine: string, ms: number): Promise<void>;
  /**
   * Returns the commands in the answer to a heartbeat; null: the machine is not in the shard or has sent a
   * later heartbeat.
   */
  commandsFor(
    heartbeat: WorkerHeartbeat,
  ): { readonly token: number; readonly commands: readonly Command[] } | null;
}

/** What the handler needs of the rest of the controller. */
export interface WorkerHeartbeatHandlerDependencies {
  /** This controller's name. */
  readonly ownNode: string;
  readonly cache: WatchCache;
  /** The steady clock, ms. */
  readonly now: () => number;
  /** Returns the shard if this controller may act for it now; else null. */
  readonly shard: (shardId: number) => ReportingShard | null;
  /** Adopts the machine if this controller is the leader; false: this controller is not the leader. */
  readonly adopt: (heartbeat: WorkerHeartbeat) => boolean;
}

interface MisroutedHeartbeat {
  readonly shardId: number;
  /** Time of the heartbeat, in ms on the steady clock. */
  readonly at: number;
}

const MALFORMED: ServerResponse = { status: 400, body: { error: 'malformed report' } };
/** The worker sends its heartbeat again soon. */
const RETRY_LATER: ServerResponse = { status: 503 };

const redirectTo = (holder: string | undefined): ServerResponse => ({
  status: 421,
  body: writeRedirect(holder),
});

/**
 * State: by machine, shard and time of the last heartbeat that this controller received although this
 * controller does not hold the machine's shard.
 */
export class WorkerHeartbeatHandler {
  private readonly misroutedHeartbeats = new Map<string, MisroutedHeartbeat>();

  constructor(private readonly dependencies: WorkerHeartbeatHandlerDependencies) {}

  /**
   * Returns by shard that this controller does not hold the number of machines that sent a heartbeat to this
   * controller within the last `withinMs`. Such machines may be unable to reach the holder of their shard.
   */
  misroutedCounts(withinMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [machine, { shardId, at }] of this.misroutedHeartbeats) {
      if (this.dependencies.now() - at > withinMs) this.misroutedHeartbeats.delete(machine);
      else counts[shardId] = (counts[shardId] ?? 0) + 1;
    }
    return counts;
  }

  /** Answers a worker heartbeat. */
  async handle(body: unknown): Promise<ServerResponse> {
    const heartbeat = readWorkerHeartbeat(body);
    if (!heartbeat) return MALFORMED;
    const entry = this.dependencies.cache.get(machineKey(heartbeat.machine));
    if (!entry) return this.answerUnknownMachine(heartbeat);
    const { shardId } = readMachineRecord(entry.value);
    const holder = this.holder(String(shardId));
    if (holder !== this.dependencies.ownNode) {
      this.misroutedHeartbeats.set(heartbeat.machine, { shardId, at: this.dependencies.now() });
      return redirectTo(holder);
    }
    this.misroutedHeartbeats.delete(heartbeat.machine);
    return this.answerOwnMachine(shardId, heartbeat);
  }

  private answerUnknownMachine(heartbeat: WorkerHeartbeat): ServerResponse {
    const leader = this.holder(LEADER_CLAIM);
    if (this.dependencies.adopt(heartbeat) || leader === this.dependencies.ownNode) return RETRY_LATER;
    return redirectTo(leader);
  }

  private async answerOwnMachine(shardId: number, heartbeat: WorkerHeartbeat): Promise<ServerResponse> {
    const received = this.dependencies.shard(shardId)?.onHeartbeat(heartbeat) ?? null;
    if (received?.awaitRound)
      await this.dependencies.shard(shardId)?.nextRound(heartbeat.machine, MAX_HEARTBEAT_RESPONSE_DELAY_MS);
    // The shard is looked up again after the wait, since this controller may have lost the claim meanwhile.
    const answer = received ? (this.dependencies.shard(shardId)?.commandsFor(heartbeat) ?? null) : null;
    if (!answer) return RETRY_LATER;
    return { status: 200, body: writeCommands(answer.token, answer.commands) };
  }

  /** Returns the controller that holds the claim; undefined: no controller holds it. */
  private holder(claimName: string): string | undefined {
    const entry = this.dependencies.cache.get(claimKey(claimName));
    return entry && readClaim(entry.value).node;
  }
}

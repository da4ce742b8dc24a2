/**
 * The fencing tokens that the holder of a shard names to its workers. The tokens of a holder begin at the
 * later revision of its claim and of the machine's record, so they exceed those of every earlier holder.
 *
 * A holder may raise a machine's token without a write, to a revision up to which it has seen every change of
 * the shared keys: up to there nobody else took the shard or the machine, and whoever does so later does it
 * at a higher revision. Owns `ShardMachine.raisedToken`; `WorkerSessions` and `DirectCommands` use it.
 */
import { log } from '../log.js';
import type { Command } from '../workers/model.js';
import { hasPendingRuns, tokenToExceed } from './direct-runs.js';
import type { ShardIdentity } from './ports.js';
import type { ShardMachine } from './shard-model.js';

/** What the tokens of a shard depend on. */
export interface WorkerTokensDependencies extends Pick<ShardIdentity, 'claim'> {
  /** The revision up to which this controller has applied every change of the shared keys. */
  readonly appliedRevision: () => number;
}

/** The fencing tokens for the machines of one shard. */
export class WorkerTokens {
  constructor(private readonly dependencies: WorkerTokensDependencies) {}

  /** The token that commands to the machine carry. */
  current(machine: ShardMachine): number {
    return Math.max(this.first(machine), machine.raisedToken);
  }

  /** The lowest token of this holder for the machine. */
  private first(machine: ShardMachine): number {
    return Math.max(this.dependencies.claim, machine.version);
  }

  /** Whether a worker that has seen this token refuses the commands of every earlier holder. */
  isOfThisHolder(token: number, machine: ShardMachine): boolean {
    return token >= this.first(machine);
  }

  /**
   * The highest token that the next commands to the machine's worker may carry. While a direct `run` is under
   * way it is the current one: the worker would refuse that command after a higher token.
   */
  private highest(machine: ShardMachine): number {
    const current = this.current(machine);
    return hasPendingRuns(machine) ? current : Math.max(current, this.dependencies.appliedRevision());
  }

  /**
   * Whether some token that `raiseFor` may choose makes the worker refuse each copy of the direct `run`
   * commands whose attempts it drops with this command.
   */
  canFence(machine: ShardMachine, command: Command): boolean {
    const exceeded = tokenToExceed(machine, command);
    return this.current(machine) > exceeded || this.highest(machine) > exceeded;
  }

  /**
   * The token under which the commands are to be sent, each of which `canFence` allowed. Raises the machine's
   * token if a command needs a higher one: a worker takes the token before it executes the commands.
   */
  raiseFor(machine: ShardMachine, commands: readonly Command[]): number {
    const current = this.current(machine);
    if (commands.every((command) => current > tokenToExceed(machine, command))) return current;
    machine.raisedToken = this.highest(machine);
    log.debug({ event: 'machine.token_raised', machine: machine.id, token: machine.raisedToken });
    return machine.raisedToken;
  }
}

/** The subsystems of one controller, which the composition root passes on once all are created. No state. */
import type { WorkerHeartbeatHandler } from '../workers/heartbeat-handler.js';
import type { Cancellations } from './cancellations.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { Leadership } from './leadership.js';
import type { Sharding } from './sharding.js';

/** The subsystems of one controller. */
export interface Subsystems {
  readonly context: ControllerContext;
  readonly coordination: Coordination;
  readonly sharding: Sharding;
  readonly leadership: Leadership;
  readonly cancellations: Cancellations;
  readonly heartbeatHandler: WorkerHeartbeatHandler;
}

/** Placement of tasks: rounds, order, urgency, faults, and the writing of what was decided. */

/** Longest pause between two placement rounds; events start one sooner. */
export const PLACEMENT_INTERVAL_MS = 500;
/** Shortest pause between two rounds, so that events share one. */
export const MIN_PLACEMENT_ROUND_PAUSE_MS = 250;
/** Part of this controller's part of a core, by processor time, that rounds may use. */
export const PLACEMENT_ROUND_CORE_FRACTION = 0.12;
/** Weight of the last round in the moving average of their processor time. */
export const ROUND_AVERAGE_WEIGHT = 0.2;
/** Report intervals for which placement waits at most for the machines of a shard that was taken over. */
export const TAKEOVER_WAIT_REPORT_INTERVALS = 1.5;
/** Transactions of one shard under way at once. */
export const MAX_CONCURRENT_TRANSACTIONS = 6;
/** Tasks of one array or service looked at in one round; gangs are looked at whole. */
export const MAX_TASKS_PER_PLACEMENT_REQUEST = 2_048;
/** Tolerance when amounts are compared, since decimal numbers are added and subtracted. */
export const AMOUNT_TOLERANCE = 1e-9;
/** Part of a job's tasks that one zone may hold when they are to be spread (protocol). */
export const SPREAD_ZONE_FRACTION = 0.5;
/** CPUs that count as much as one GPU when teams are divided among shards. */
export const CPUS_PER_GPU_WEIGHT = 8;

/** Waiting time after which on-demand machines are provisioned for work that may use spot machines. */
export const ON_DEMAND_PROVISIONING_WAIT_S = 180;
/** Waiting time after which such work may use on-demand machines that are up. */
export const ON_DEMAND_PLACEMENT_WAIT_S = 20;
/** The same within a team's guarantee, which promises a prompt start. */
export const GUARANTEED_ON_DEMAND_PLACEMENT_WAIT_S = 5;
/** Slack to a target below which an on-demand machine that is up is used rather than waited for. */
export const URGENT_PLACEMENT_SLACK_S = 20;
/** Slack to a target, boot time taken off, below which an on-demand machine is provisioned. */
export const URGENT_PROVISIONING_SLACK_S = 15;
/** Taken off a target for an image that may have to be fetched. */
export const ESTIMATED_IMAGE_FETCH_S = 10;
/** Multiple of the loosest start target after which a waiting job goes first again. */
export const STARVATION_FACTOR = 2.5;
/** Idle on-demand machines that each shard keeps for work that can use no other. */
export const RESERVED_IDLE_MACHINES = 1;

/** Different machines on which a job's tasks fail before the job itself counts as faulty. */
export const JOB_FAULT_MACHINE_THRESHOLD = 3;
/** First pause of a job that fails; each further failure doubles it. */
export const JOB_BACKOFF_MS = 5_000;
/** Longest pause of a job that fails. */
export const MAX_JOB_BACKOFF_MS = 120_000;
/** Doublings of that pause, so that the power stays finite. */
export const MAX_JOB_BACKOFF_DOUBLINGS = 10;
/** Pause of a job after a worker had no room for its task. */
export const NO_ROOM_BACKOFF_MS = 1_000;

/** Part of a controller's change rate below which finished tasks are recorded at once. */
export const IMMEDIATE_FLUSH_RATE_FRACTION = 0.4;
/** How long a finished task's record waits otherwise for others of its job. */
export const FLUSH_DELAY_MS = 2_500;
/** Least time between two writes of finished tasks, so that they share transactions. */
export const FLUSH_INTERVAL_MS = 400;

/** Placement of tasks: rounds, placement order, urgency, failures, and the writes of placement results. */

/** Maximum interval between two placement rounds. Events start a round earlier. */
export const PLACEMENT_INTERVAL_MS = 500;
/** Minimum pause between two rounds, so that several events share one round. */
export const MIN_PLACEMENT_ROUND_PAUSE_MS = 250;
/** Fraction of this controller's share of a core that rounds may use, measured in processor time. */
export const PLACEMENT_ROUND_CORE_FRACTION = 0.12;
/** Weight of the last round in the moving average of the rounds' processor time. */
export const ROUND_AVERAGE_WEIGHT = 0.2;
/**
 * Maximum number of report intervals for which placement waits for the machines of a shard that was taken
 * over.
 */
export const TAKEOVER_WAIT_REPORT_INTERVALS = 1.5;
/** Maximum number of concurrent transactions of one shard. */
export const MAX_CONCURRENT_TRANSACTIONS = 6;
/** Maximum number of tasks of one array or service that one round considers. Gangs are considered whole. */
export const MAX_TASKS_PER_PLACEMENT_REQUEST = 2_048;
/**
 * Tolerance for comparing resource amounts, because adding and subtracting decimal fractions causes rounding
 * errors.
 */
export const AMOUNT_TOLERANCE = 1e-9;
/** Maximum fraction of a job's tasks in one zone if the job asks for them to be spread (protocol). */
export const SPREAD_ZONE_FRACTION = 0.5;
/** Number of CPUs that weigh as much as one GPU when teams are divided among shards. */
export const CPUS_PER_GPU_WEIGHT = 8;

/** Waiting time after which on-demand machines are provisioned for work that may use spot machines. */
export const ON_DEMAND_PROVISIONING_WAIT_S = 180;
/** Waiting time after which work that may use spot machines may also use booted on-demand machines. */
export const ON_DEMAND_PLACEMENT_WAIT_S = 20;
/** The same waiting time for work within a team's guarantee, which promises a prompt start. */
export const GUARANTEED_ON_DEMAND_PLACEMENT_WAIT_S = 5;
/**
 * Slack before a target below which work that may use spot machines uses a booted on-demand machine and does
 * not wait for a spot machine.
 */
export const URGENT_PLACEMENT_SLACK_S = 20;
/**
 * Slack before a target, after subtracting the boot time, below which an on-demand machine is provisioned.
 */
export const URGENT_PROVISIONING_SLACK_S = 15;
/** Time subtracted from a target for an image that a worker may have to fetch. */
export const ESTIMATED_IMAGE_FETCH_S = 10;
/** Multiple of the loosest start target after which a waiting job is placed first again. */
export const STARVATION_FACTOR = 2.5;
/** Number of idle on-demand machines that each shard keeps for work that can use no other machines. */
export const RESERVED_IDLE_MACHINES = 1;

/** Number of different machines on which a job's tasks must fail before the job itself counts as faulty. */
export const JOB_FAULT_MACHINE_THRESHOLD = 3;
/**
 * First delay of a job that counts as faulty. Each further machine on which a task of the job fails doubles
 * the delay.
 */
export const JOB_BACKOFF_MS = 5_000;
/** Maximum delay of a failing job. */
export const MAX_JOB_BACKOFF_MS = 120_000;
/** Maximum number of doublings of that delay, so that the power stays finite. */
export const MAX_JOB_BACKOFF_DOUBLINGS = 10;
/** Delay of a job after a worker had no capacity for one of its tasks. */
export const NO_ROOM_BACKOFF_MS = 1_000;

/**
 * Fraction of a controller's change rate. While the demand for changes is below this fraction, finished tasks
 * are recorded without the delay `FLUSH_DELAY_MS`.
 */
export const IMMEDIATE_FLUSH_RATE_FRACTION = 0.4;
/** Time for which the record of a finished task otherwise waits for other tasks of its job. */
export const FLUSH_DELAY_MS = 2_500;
/** Minimum interval between two writes of finished tasks, so that they share transactions. */
export const FLUSH_INTERVAL_MS = 400;

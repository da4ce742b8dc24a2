/**
 * Every constant of the service, with its unit and the reason for its value. What differs between
 * deployments never stands here: it comes from the settings file, the catalog or observation.
 */

/** ms: life of a node's lease on its claims. Long enough to survive a slow second on a small core and two
 *  lost renewals, short enough that a dead node's share is taken over before most workers' leases end. */
export const CLAIM_TTL_MS = 5_000;
/** ms: between renewals. Four tries fit into one lease; costs each node under one request a second. */
export const CLAIM_RENEW_MS = 1_200;
/** Fraction: clocks of two machines drift apart by at most 0.05 % (protocol); doubled for both ends. */
export const CLOCK_DRIFT = 0.001;
/** ms: taken off a lease's end, for timers that fire late on a busy core. */
export const CLAIM_MARGIN_MS = 300;
/** ms: how long another node leaves a free claim to the node that it is meant for. */
export const CLAIM_GRACE_MS = 1_500;
/** ms, for each node before this one by name, and for each share that it holds already: what it waits longer for a free
 *  claim, so that nodes do not all write at once and the one with the least to do takes it. A write takes some 10 ms. */
export const CLAIM_RANK_PAUSE_MS = 150;
export const CLAIM_HELD_PAUSE_MS = 500;
/** ms, for each node before this one by name: the same for the leadership, where nobody is preferred. */
export const LEADER_RANK_PAUSE_MS = 250;
/** ms: between looks at the claims. */
export const CLAIM_TICK_MS = 300;
/** ms: a peer must have answered steadily this long before a second share is handed back to it. */
export const HANDBACK_STABLE_MS = 12_000;

/** ms: between heartbeats to each peer; the leader acts on what heartbeats say. */
export const HEARTBEAT_MS = 1_000;
/** Heartbeats after which the second of two nodes, by name, begins an exchange that the first should have begun. */
export const HEARTBEAT_RESPONDER_FACTOR = 1.25;
/** Fraction of that time after which a timer that fires a little early still begins it. */
export const HEARTBEAT_DUE_FRACTION = 0.9;
/** ms: between two heartbeats to the leader when something changed; a change a few rounds apart shares one. */
export const HEARTBEAT_NOTIFY_MS = 400;
/** ms: a share's needs are worked out this often at most; the leader acts on them no faster. */
export const PLAN_MS = 300;
/** Spares of one type, zone and kind that a share names to the leader, and to the others. More are seldom
 *  moved at once, and a heartbeat must stay small with hundreds of machines. */
export const SPARES_PER_KIND_MAX = 24;
/** Classes of need in one summary: the most important first. */
export const DEMAND_CLASSES_MAX = 40;
/** ms: between two summaries or orders that go through the state service because a connection is refused: two
 *  changes of its rate for each node cut off so. */
export const RELAY_MS = 2_000;
/** ms: what came that way counts this long. */
export const RELAY_FRESH_MS = 7_000;
/** ms: users' questions wait this long for others, to be read fresh together. Some twenty a second come to each of several
 *  nodes: at half of this nearly each was a request of its own, a third of all that the state service was asked. */
export const FRESH_BATCH_MS = 250;
/** ms and times: a call of a user's that the state service had no rate left for is tried again here, so that the
 *  user need not. */
export const RATE_RETRY_MS = 120;
export const RATE_RETRIES = 6;
/** ms: a peer's word about the state service counts this long. */
export const HEARTBEAT_FRESH_MS = 2_500;
/** ms: wait for a peer's answer. */
export const PEER_TIMEOUT_MS = 900;

/** Jobs whose task counts a share tells the other nodes with each heartbeat; they are for display only. As many as a share of
 *  4,000 machines has at a job a machine: some 100 KB then, and as much less as there are fewer. */
export const TASK_COUNTS_MAX = 4_000;

/** ms: wait for the state service. Normal answers take 10 ms, now and then a few hundred. */
export const STORE_TIMEOUT_MS = 1_500;
/** ms: wait for a lease renewal: several must fit in one lease. */
export const RENEW_TIMEOUT_MS = 1_000;
/** ms: how long one watch stays open. A copy of the shared keys is as fresh as the question that was answered last, and
 *  how long a holder may go on in an outage counts from there, as does how long a copy may be answered from: where nothing
 *  changes it is up to twice this old. */
export const WATCH_MS = 4_000;
/** ms: pause after a failed watch or list before the next. */
export const STORE_RETRY_MS = 300;
/** Items: page size of lists; the service's own bound is 1,000. */
export const LIST_PAGE = 500;
/** Fraction of the request rate that watches may use: each change ends every node's watch. A node's share of it
 *  is the pause between two watches, some 0.2 to 0.4 s, little beside a report interval. */
export const WATCH_SHARE = 0.1;
/** Fraction of a second's rate that must be there for a batch to pass; the rest of it is owed. */
export const RATE_DOWN_PAYMENT = 0.25;
/** Fraction of a second's rate, and changes at least, that one transaction holds: a larger one would leave the others
 *  nothing for as long as it owes. */
export const BATCH_SHARE = 0.6;
export const BATCH_LEAST = 6;
/** ms: between looks at the queue for budget, at least and at most; the rate may change in between. */
export const RATE_QUEUE_MIN_MS = 10;
export const RATE_QUEUE_MAX_MS = 250;
/** ms: over so long (once or twice) a node's demand for budget is measured; several heartbeats. */
export const RATE_DEMAND_WINDOW_MS = 2_000;
/** Fraction of a common rate that is divided evenly; the rest goes by demand. An idle node must be able to
 *  renew, answer and take over at once, before the others have heard of its demand. */
export const RATE_EVEN_FRACTION = 0.5;
/** Fraction of the node's request budget that only renewals and users' calls may use. */
export const STORE_RESERVE = 0.35;
/** ms: longest wait for budget before a call is given up as not carried out. */
export const STORE_QUEUE_MS = 2_000;
/** bytes: room for one transaction, below the protocol's 64 KiB for its frame. */
export const TXN_BYTES = 56 * 1024;
/** bytes: a run's key, which stands in a write and in a condition, with the names of their fields. */
export const WRITE_FRAME_BYTES = 160;
/** Tasks in one run record: 128 bindings of about 25 bytes stay below 4 KiB, half the smallest value size. */
export const CHUNK_TASKS = 128;

/** bytes: the protocol's bound on bodies. */
export const BODY_MAX_BYTES = 64 * 1024;
/** bytes: bound on what we read from the state service, the cloud and peers. */
export const ANSWER_MAX_BYTES = 16 * 1024 * 1024;
/** bytes: bodies up to this size are written together with their head; larger ones are not worth the copy. */
export const ONE_WRITE_BYTES = 4 * 1024;
/** Tasks of one job (protocol). */
export const TASKS_MAX = 100_000;
/** Characters: longest text field in a submission, so that a job's record stays small. */
export const TEXT_MAX = 256;
/** s: what a user is told to wait before asking again when the node can't answer now. */
export const RETRY_AFTER_S = 1;
/** ms: longest time a user's call may take here; the user gives up after 5 s, polls after 2 s. */
export const USER_BUDGET_MS = 1_800;
/** Fraction of the socket limit for incoming connections. */
export const INCOMING_SOCKET_SHARE = 0.76;
/** Fraction of those above which workers no longer keep theirs between reports: one node may be left for all workers,
 *  more than it has sockets, and users, health checks and other controllers must still find room. */
export const CROWDED_SOCKET_SHARE = 0.85;
/** ms: a connection unused for so long is closed. Workers and users call every few seconds; what is silent for many
 *  times that is a machine that died or was cut off, whose end of the connection never closes. */
export const CONNECTION_IDLE_MS = 60_000;
/** Fraction of the socket limit for connections to workers, idle ones included. */
export const WORKER_CLIENT_SOCKET_SHARE = 0.12;
/** Sockets to one address. */
export const SOCKETS_OUT = 24;
/** Sockets to a peer: heartbeats, task counts and moves. */
export const PEER_SOCKETS = 6;

/** Tasks of one array or service looked at in one round; the rest follow in the next rounds. Gangs are looked at whole. */
export const REQUEST_TASKS_MAX = 2_048;
/** ms: between placement rounds; events start one at once. */
export const PLACE_TICK_MS = 500;
/** Report intervals: after a takeover, placement waits at most this long for the share's machines to report. Each
 *  has reported once by then, and once more under the new token if it heard the answer. */
export const REBUILD_REPORTS = 1.5;
/** ms: a job waits this long for free machines of other shares before groups are preempted for it: one heartbeat
 *  and one move, with some to spare. */
export const PREEMPT_AFTER_MS = 2_500;
/** Transactions of one share under way at once; an answer takes some 10 ms, so these fill any rate. */
export const COMMITS_AT_ONCE = 6;
/** Fraction of this node's share of a core that rounds may take, by processor time; reports, users' calls and renewals need
 *  the rest. A round of a backlog lasts many times as long as one without, and would else fill whatever core there is. */
export const ROUND_SHARE = 0.12;
/** Weight of the last round in the average by which rounds rest: some five rounds share the cost of a dear one. */
export const ROUND_AVERAGE_WEIGHT = 0.2;
/** ms: between two rounds at least. Events that come within it share a round, and a report's answer waits for it. Some
 *  hundred events a second would else make a round each; a start a fifth of a second later matters to no target. */
export const ROUND_GAP_MS = 250;
/** Exits and ms: so many settled exits on a machine, or one so old, are forgotten together: each time one is, its
 *  worker reports anew. */
export const FORGET_TOGETHER = 12;
export const FORGET_AFTER_MS = 30_000;
/** ms: machines are looked at this often for leases, silence and return; all of them counts in seconds. */
export const WATCH_MACHINES_MS = 500;
/** ms: pause between searches for groups to preempt, the dearest of decisions. */
export const PREEMPT_INTERVAL_MS = 1_000;
/** Waiting jobs that one search looks at; the rest follow in the next. A search of dozens costs some ten milliseconds. */
export const PREEMPT_REQUESTS_MAX = 32;
/** Fraction of a node's change rate below which finished tasks are written at once: there is room to spare, and the
 *  sooner an exit is written, the sooner its machine may move to another share. */
export const FLUSH_AT_ONCE = 0.4;
/** ms: otherwise a finished task's record waits this long for others of its job. Until then its worker's report is the
 *  record; a machine whose exits are not written can't move to another share, nor have them forgotten. */
export const FLUSH_AGE_MS = 2_500;
/** ms: pause between writes of finished tasks, so that they share transactions. */
export const FLUSH_MS = 400;
/** Fraction of the node's change budget that binding and flushing may use in one round. */
export const ROUND_WRITES = 0.3;
/** ms: added to a worker's lease before its tasks count as gone. */
export const LEASE_MARGIN_MS = 1_000;
/** Factor: a machine that has not reported after this many nominal boot times is given up. */
export const BOOT_FACTOR = 2.5;
/** s: added to that, for machines with very short boot times. */
export const BOOT_SLACK_S = 20;
/** Factor and s: within so many nominal boot times, and this for its first report, a machine usually is up
 *  (1.5 is the usual bound); later ones are no longer planned on, so a replacement is rented. */
export const BOOT_USUAL = 1.6;
export const BOOT_USUAL_S = 5;
/** Report intervals: a spot machine silent for this long is taken to have been taken back. */
export const SPOT_SILENT_REPORTS = 3.3;
/** Answers that carried the same `run`, each followed by a report without the task: the machine does not hear. */
export const RUN_TRIES = 3;
/** s: no idle machine goes back sooner, however fast it boots: reports and moves take some seconds. */
export const IDLE_RETURN_S = 15;
/** Nominal boot times for which an idle machine is held: about what a new one costs, in time and money. */
export const IDLE_BOOTS = 1.5;
/** Machines: so many idle ones of a kind are held that long by each share; it is gangs of a few tasks that wait. */
export const IDLE_KEPT_LONGER = 2;
/** Nominal boot times for which the others are held: a lull of half a boot is no reason to let go. */
export const IDLE_BOOTS_MANY = 0.5;
/** Factor: a boot that takes so many times as long as a class's loosest start target can't serve that class at all. */
export const BOOT_BOUND_FACTOR = 4;
/** Nominal boot times for which an idle ordinary machine is held where a boot misses every start target of a class that
 *  runs on it: a machine rented anew is then late for certain, and has lost the images that this one still has. */
export const IDLE_BOOTS_BOOT_BOUND = 10;
/** ms: an answer to a worker waits this long at most for the placement that its report made possible; a
 *  worker waits 4 s, and its lease counts from when it sent the report. */
export const ANSWER_WAIT_MS = 400;
/** s: work that may use spot machines waits this long before ordinary ones are rented for it: they cost a
 *  multiple, and a queue on spot machines usually moves within one task's time. */
export const SPOT_PATIENCE_S = 180;
/** s: work that may use spot machines leaves ordinary ones that are up alone for so long, since tasks that end
 *  on spot machines make room all the time; less within a guarantee, which promises a prompt start. */
export const ORDINARY_AFTER_S = 20;
export const ORDINARY_AFTER_GUARANTEED_S = 5;
/** s: slack to a target below which an ordinary machine that is up is taken rather than waited on. */
export const URGENT_PLACE_S = 20;
/** s: slack to a target, boot time taken off, below which an ordinary machine is rented. */
export const URGENT_RENT_S = 15;
/** s: taken off a target for an image that may have to be fetched; what a common image takes. */
export const FETCH_GUESS_S = 10;
/** Times the loosest start target after which a waiting job goes first again. */
export const STARVING_FACTOR = 2.5;
/** Machines: idle ordinary ones that each share keeps for work that can use no other. */
export const RESERVED_IDLE = 1;
/** ms: a machine under suspicion gets no new tasks for this long. */
export const SUSPECT_MS = 60_000;
/** Machines: a job whose tasks failed on this many different machines is taken to be faulty itself. */
export const JOB_ERRORS = 3;
/** ms: first pause of a job that fails; doubles to the bound below. */
export const JOB_BACKOFF_MS = 5_000;
/** ms: longest pause of a failing job. */
export const JOB_BACKOFF_MAX_MS = 120_000;
/** s: grace beyond a task's own saving time when it is stopped. */
export const STOP_GRACE_EXTRA_S = 2;
/** ms: a saving task that overstays its grace by this is ended without. */
export const STOP_GRACE_OVERRUN_MS = 4_000;

/** ms: wait for a worker's answer to direct commands. */
export const DIRECT_TIMEOUT_MS = 1_500;
/** Report intervals: a holder that heard no worker for this long, while another node hears them, hands its share
 *  over. */
export const UNREACHABLE_REPORTS = 3;
/** ms: after that it takes no share back; long enough for most cuts, and it can't tell when one ends. */
export const UNREACHABLE_PAUSE_MS = 45_000;

/** Fraction of its class's loosest start target, and ms at most, that a gang no zone has room for waits before
 *  machines are gathered for it; ms where the class has no such target. Gathering takes about as long again, and
 *  what is kept idle for one large gang would have started several small ones, which most jobs are. */
export const RESERVE_AFTER_TARGET = 1 / 2;
export const RESERVE_AFTER_MAX_MS = 100_000;
export const RESERVE_AFTER_MS = 60_000;
/** ms: the same for an array or service of which nothing runs yet; one machine is gathered for it. */
export const RESERVE_ARRAY_AFTER_MS = 100_000;
/** ms: a hold that did not lead to a start by then is given up, and may begin anew in another zone: a zone turns
 *  over within a task's time or two. */
export const RESERVATION_MAX_MS = 100_000;
/** ms: a move that shows nowhere by then was not carried out; a transaction, a watch and a heartbeat, with some to spare. */
export const MOVE_SHOWN_MS = 4_000;
/** ms: a machine that came from another share counts as room for this long before its worker has answered. */
export const TRANSFER_CONTACT_MS = 3_000;
/** ms: a hold is acknowledged this long after it was last heard of. */
export const HOLD_FRESH_MS = 4_000;
/** ms: how often a node that does not lead looks whether it does. */
export const LEADER_IDLE_MS = 1_000;
/** ms: between the leader's rounds. */
export const LEADER_TICK_MS = 250;
/** ms: between reads of the machine list. */
export const LIST_MS = 10_000;
/** ms: between reads of the catalog. */
export const CATALOG_MS = 60_000;
/** ms: wait for the cloud. */
export const CLOUD_TIMEOUT_MS = 6_000;
/** ms: after "no capacity" for a type, zone and kind, other choices are tried for this long. */
export const NO_CAPACITY_MS = 12_000;
/** ms: repeated refusals double the pause up to this. */
export const NO_CAPACITY_MAX_MS = 60_000;
/** Rental requests under way at once; the cloud's rate bounds them too. */
export const RENTS_AT_ONCE = 4;
/** Times that a rental request without an answer is sent again under its name, which tells what became of it. */
export const RENT_REPEATS = 2;
/** ms: between tries to settle what an earlier leader left open. */
export const SETTLE_RETRY_MS = 500;
/** Machines in one rental request (protocol). */
export const HIRE_MAX = 50;
/** Names in one release (protocol). */
export const RELEASE_MAX = 100;
/** Records of released machines deleted in one transaction: small enough that binds beside it need not wait long. */
export const RECORDS_GONE = 16;
/** ms: pause after a cloud call that failed. */
export const CLOUD_RETRY_MS = 1_500;

/** Final answers kept in memory; the rest are read from the state service. */
export const FINAL_CACHE = 2_000;

/** What this version understands of what nodes say to each other: 1, it acknowledges cancellations (`/heed`), tells a user
 *  of one only once its holder can't fail to act on it, and understands jobs that follow others; 2, its orders to other
 *  controllers carry fencing tokens. Versions before that say nothing, and count as 0. */
export const PROTOCOL_VERSION = 2;
/** The level from which orders between controllers carry fencing tokens. */
export const PROTOCOL_FENCED_ORDERS = 2;
/** The level from which a node acknowledges cancellations. */
export const PROTOCOL_ACKNOWLEDGES_CANCELLATIONS = 1;
/** The level from which a node understands jobs that follow others. */
export const PROTOCOL_PIPELINES = 1;
/** ms: between looks whether every node has announced its level; an upgrade takes minutes. */
export const PROTOCOL_VERSION_CHECK_MS = 2_000;
/** ms: cancellations that come together are put to their holder in one message; little beside a user's 5 s. */
export const ACKNOWLEDGEMENT_BATCH_MS = 20;
/** Cancellations in one such message, bounded for the body's size. */
export const ACKNOWLEDGEMENT_BATCH_MAX = 400;
/** ms: between a holder's durable marks, which only stand in for connections that are refused. */
export const DURABLE_ACKNOWLEDGEMENT_MS = 500;
/** ms: taken off the time for which a holder may answer workers without having read the shared keys: peers' word
 *  about the state service is up to 2.5 s old, timers fire late, and a command may be under way for a second or two. */
export const OUTAGE_GRACE_MARGIN_MS = 5_000;
/** ms: so long before `cancel_s` is over a machine on which a cancelled task isn't proven gone is to be returned: one
 *  transaction, the leader's watch and round, and some calls at the cloud's rate. */
export const RETURN_RESERVE_MS = 10_000;
/** ms: between direct requests to the leader to return machines while the state service can't be written. */
export const RETURN_ASK_MS = 2_000;

/** ms: between the end of one stage of a pipeline and the start of the next: the final record, a round, a bind, the
 *  command, and a small image. What a deadline at the end leaves to the stages before is counted with it. */
export const STAGE_EXTRA_MS = 6_000;
/** ms: between looks for the final records of followed jobs that are over. */
export const FINAL_READS_PAUSE_MS = 100;
/** Final records read side by side. */
export const FINAL_READS_MAX = 8;
/** ms: a waiting job's user is answered from this node's copy of the shared keys only if that is this fresh (more than
 *  twice a watch); what the
 *  copy may not show of a cancellation stays far below `cancel_s`. */
export const CACHE_FRESH_MS = 10_000;
/** bytes: room for the names of images in a machine's record. More than a machine uses in turn, and a batch of such records
 *  still fits in one transaction. */
export const IMAGES_RECORD_BYTES = 512;
/** Fraction of the value size that a record's estimated size may take: escapes and longer names have their room. */
export const VALUE_FILL = 0.85;
/** ms: a part of the service that failed by a defect is started again after this, so that one that fails at once does not
 *  take the processor. */
export const SUPERVISE_RESTART_MS = 500;

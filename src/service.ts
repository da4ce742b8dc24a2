import { SuspensionAwareClock } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import { CancellationAcknowledgement, type Cancellation } from './cancellation/acknowledgement.js';
import { DurableAcknowledgements } from './cancellation/durable-acknowledgement.js';
import { LEADER } from './claims/decide.js';
import { LeaseManager } from './claims/lease-manager.js';
import { outageGrace } from './claims/outage.js';
import {
  HEARTBEAT_FRESH_MS,
  PROTOCOL_VERSION,
  PROTOCOL_ACKNOWLEDGES_CANCELLATIONS,
  PROTOCOL_FENCED_ORDERS,
  PROTOCOL_PIPELINES,
} from './constants.js';
import { Cloud } from './fleet/cloud.js';
import { CatalogView } from './fleet/catalog-view.js';
import { DutiesApi } from './duties/admin-api.js';
import { composeDuties } from './duties/compose.js';
import { returnUrgently } from './duties/urgent-return.js';
import { BootBoundTypes } from './fleet/boot-bound-types.js';
import { ScarceTypes } from './fleet/scarce-types.js';
import { Leader } from './fleet/leader.js';
import type { Reservation, Summary } from './fleet/records.js';
import { parseTarget, type Call, type Callers, type Reply } from './http.js';
import { createRouter } from './router.js';
import { supervise } from './supervise.js';
import { UsersApi } from './jobs/api.js';
import { readJobRecord } from './jobs/codec.js';
import { fitsIn, placeAllowed, type JobRecord } from './jobs/model.js';
import { log } from './log.js';
import { StoreRelay } from './peers/store-relay.js';
import { ProtocolVersion } from './peers/protocol-version.js';
import { PeerNetwork } from './peers/network.js';
import { writeMoveOrder } from './peers/order-codec.js';
import { PeerRequests } from './peers/peer-requests.js';
import { shareRates } from './peers/rate-sharing.js';
import { unpackIds } from './pipelines/codec.js';
import { Finals } from './pipelines/finals.js';
import { Pipelines } from './pipelines/pipelines.js';
import { briefly } from './placement/unmet-demand.js';
import { readObjectives } from './placement/urgency.js';
import { Share, type ShareInput } from './placement/share.js';
import type { Settings } from './settings/schema.js';
import { NO_FEATURES, type Features } from './settings/features.js';
import { ANYONE, type AdminAccess } from './settings/networks.js';
import { lasting } from './settings/limits.js';
import { divideTeams, nodeNames } from './settings/teams.js';
import { Store } from './store/client.js';
import { claimKey, followsKey, jobKey } from './store/keys.js';
import { LinearizableReads } from './store/linearizable-reads.js';
import { WatchCache } from './store/watch-cache.js';
import { type DirectCommands } from './workers/worker-client.js';
import { ReportHandler } from './workers/report-handler.js';

/** What a controller needs of the world outside; tests put stand-ins here. */
export interface Ports {
  /** ms, steady. */
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
  /** ms of processor time that this process has used. */
  readonly processorMs: () => number;
  /** Differs for every process that ever runs as this node. */
  readonly incarnation: string;
  readonly callers: Callers;
  readonly workerClient: DirectCommands;
}

/** A composed controller. */
export interface Controller {
  /** Users, workers and health checks. */
  readonly route: (call: Call) => Promise<Reply>;
  /** The other controllers. */
  readonly peerRoute: (call: Call) => Promise<Reply>;
  readonly run: Effect.Effect<unknown>;
  /** Ends what runs beside `run`. */
  readonly stop: () => void;
}

/** Composes the slices of one controller. */
export const compose = (
  settings: Settings,
  ports: Ports,
  features: Features = NO_FEATURES,
  adminAccess: AdminAccess = ANYONE,
): Controller => {
  const { now, wall, workerClient: line, callers } = ports;
  const me = { node: settings.host_name, incarnation: ports.incarnation };
  const { facts } = settings;
  const nodes = nodeNames(settings);
  const slots = facts.count;
  const shareOfTeam = divideTeams(facts.teams, slots);
  const limits = new Map(
    facts.teams.map((team) => [team.name, { cpusMax: team.cpus_max, gpusMax: team.gpus_max }]),
  );
  const guarantees = new Map(facts.teams.map((team) => [team.name, { cpus: team.cpus, gpus: team.gpus }]));

  const objectives = readObjectives(facts.objectives);

  // What bounds the right to act must count a suspension of the host too: all that is known of the state service and of other
  // controllers ages by this clock. Evidence that something is over elsewhere keeps to
  // the steady clock, which never runs ahead.
  const leaseClock = features.fencing
    ? new SuspensionAwareClock(
        { steady: now, timeOfDay: wall, timeOfDayErrorMs: facts.clock_error_ms },
        (gapMs) => log.info({ event: 'clock.gap', gapMs }),
      ).now
    : now;

  const stateLimits = lasting(facts.state);
  const valueBytes = stateLimits.value_kb * 1024;
  const store = new Store(
    parseTarget(settings.services.state),
    { ...stateLimits, nodes: nodes.length },
    leaseClock,
    callers,
  );
  const cache = new WatchCache(store, leaseClock);
  const fresh = new LinearizableReads(store);
  const finals = new Finals(store);
  const cloud = new Cloud(parseTarget(settings.services.cloud), facts.cloud.rps, nodes.length, now, callers);

  const catalog = new CatalogView(cache).current;

  const shares = new Map<number, { share: Share; fiber: Fiber.Fiber<unknown> }>();
  const stateAge = (): number => (store.okAt === 0 ? Number.MAX_SAFE_INTEGER : leaseClock() - store.okAt);

  const leaderNode = (): string | undefined => leases.claim(LEADER)?.node;

  const peerNetwork: PeerNetwork = new PeerNetwork({
    me: me.node,
    peers: settings.siblings,
    now: leaseClock,
    callers,
    leader: leaderNode,
    heartbeat: (to) => ({
      from: me.node,
      incarnation: me.incarnation,
      level: PROTOCOL_VERSION,
      lease: leases.lease,
      stateAgeMs: stateAge(),
      counts: [...shares].map(([slot, { share }]) => ({ slot, jobs: share.allCounts() })),
      summaries: to === leaderNode() ? ownSummaries() : ownSummaries().map(briefly),
      deaf: leases.deaf,
      strays: reportHandler.strayCounts(HEARTBEAT_FRESH_MS * 2),
      demand: { requests: store.requests.demand(), changes: store.changes.demand() },
      holds: leases.entitled(LEADER) === null ? [] : leader.holds,
    }),
    answer: (path, body) => peerRequests.answer(path, body),
  });

  /** Puts a cancellation to a share of ours, if this process holds it under that very claim. */
  const acknowledge = ({ slot, claim, job, version }: Cancellation): boolean => {
    const held = shares.get(slot)?.share;
    return held?.claim === claim && held.acknowledge(job, version);
  };

  const protocolVersion = new ProtocolVersion({
    store,
    cache: cache,
    announced: () => peerNetwork.announced(),
    begin: () => registry.leader('protocol-level').begin('agreed protocol level'),
  });

  const acknowledgement = new CancellationAcknowledgement({
    me: me.node,
    store,
    fresh,
    cache: cache,
    acknowledge,
    ask: (node, path, body) => peerNetwork.ask(node, path, body),
    summaries: () => peerNetwork.summaries(),
    understands: (node) =>
      node === me.node ||
      protocolVersion.agreed >= PROTOCOL_ACKNOWLEDGES_CANCELLATIONS ||
      peerNetwork.understands(node, PROTOCOL_ACKNOWLEDGES_CANCELLATIONS),
  });

  const durableAcknowledgements = new DurableAcknowledgements({
    store,
    cache: cache,
    held: () =>
      [...shares.keys()].flatMap((slot) => {
        const held = entitledShare(slot);
        return held && held.stage !== 'loading' ? [{ slot, claim: held.claim }] : [];
      }),
    allHeard: () => peerNetwork.allHeard(),
  });

  /** Shares of ours whose workers all fell silent here while another node hears half of them. */
  const unheard = (): ReadonlyMap<string, string> => {
    const found = new Map<string, string>();
    for (const [slot, { share }] of shares) {
      const { machines, heard } = share.hearing();
      const strays = peerNetwork.strays(String(slot));
      if (machines > 0 && heard === 0 && strays && strays.count * 2 >= machines)
        found.set(String(slot), strays.node);
    }
    return found;
  };

  const leases: LeaseManager = new LeaseManager(store, cache, {
    me,
    nodes,
    slotCount: slots,
    peers: () => peerNetwork.peers(),
    outageGraceUntil: () =>
      outageGrace({
        nodes: nodes.length,
        stateAge,
        peers: peerNetwork,
        protocolVersion,
        cache,
        workers: facts.workers,
      }),
    unheard,
    now: leaseClock,
  });

  const { registry, gate, journal, readRentals } = composeDuties({
    leases,
    store,
    valueBytes,
    wall,
    enforce: features.fencing,
    tokensRequired: () => protocolVersion.agreed >= PROTOCOL_FENCED_ORDERS,
  });

  const entitledShare = (slot: number): Share | null => {
    const claim = leases.entitled(String(slot));
    const held = shares.get(slot)?.share;
    return claim !== null && held && held.claim === claim && held.stage !== 'lost' ? held : null;
  };
  const ownSummaries = (): readonly Summary[] =>
    [...shares.keys()].flatMap((slot) => entitledShare(slot)?.summary ?? []);

  const summaryOf = (slot: number, heard: readonly Summary[]): Summary | null =>
    heard.find((summary) => summary.share === slot) ??
    relay.summary(slot, leases.claim(String(slot))?.version ?? -1);

  const leader: Leader = new Leader({
    store,
    cache: cache,
    cloud,
    duties: registry,
    journal,
    shares: slots,
    listLagS: facts.cloud.list_lag_s,
    valueBytes,
    maySplit: () => protocolVersion.agreed >= PROTOCOL_PIPELINES,
    catalog,
    entitled: () => leases.entitled(LEADER),
    summaries: () => {
      const heard = [...ownSummaries(), ...peerNetwork.summaries()];
      return Array.from({ length: slots }, (_, slot) => summaryOf(slot, heard)).filter(
        (summary) => summary !== null,
      );
    },
    move: (from, moves, permit) => {
      const held = entitledShare(from);
      if (held) return Effect.promise(() => held.give(moves));
      const holder = leases.claim(String(from))?.node;
      if (holder === undefined || holder === me.node) return Effect.void;
      if (peerNetwork.fresh(holder) === null) return relay.order(from, moves, leader.holds);
      if (!permit.mayProceed()) return Effect.void;
      const order = writeMoveOrder({ from, moves }, permit.token);
      return Effect.promise(() => peerNetwork.ask(holder, '/move', order));
    },
    now,
    wall,
  });

  const relay: StoreRelay = new StoreRelay({
    store,
    valueBytes,
    now,
    leaderClaim: () => leases.claim(LEADER)?.version ?? null,
    cutOff: () => {
      const to = leaderNode();
      return to === undefined || to === me.node || peerNetwork.fresh(to) !== null ? [] : ownSummaries();
    },
    give: (slot, moves) => {
      void entitledShare(slot)?.give(moves);
    },
  });

  const peerRequests = new PeerRequests({
    gate,
    move: async (from, moves) => (await entitledShare(from)?.give(moves)) ?? false,
    returnNow: (machines) => leader.returnNow(machines),
    acknowledge,
  });

  const holdsFor = (slot: number): readonly Reservation[] => {
    if (leases.entitled(LEADER) !== null) return leader.holds;
    const from = leaderNode();
    const beat = from === undefined ? null : peerNetwork.fresh(from);
    return beat ? beat.holds : relay.holds(slot);
  };

  const reportHandler = new ReportHandler({
    me: me.node,
    cache: cache,
    now,
    share: entitledShare,
    adopt: (report) => {
      if (leases.entitled(LEADER) === null) return false;
      leader.adopt(report.machine, report.type, report.zone, report.spot);
      return true;
    },
  });

  const scarceTypes = new ScarceTypes(catalog);
  const bootBoundTypes = new BootBoundTypes(catalog, objectives);

  const shareInput = (slot: number, claim: number): ShareInput => ({
    store,
    cache: cache,
    catalog,
    scarceDemand: (type) => scarceTypes.demand(type),
    bootBound: (type) => bootBoundTypes.has(type),
    shareOfTeam,
    limits,
    guarantees,
    objectives,
    workers: facts.workers,
    valueBytes,
    maySplit: () => protocolVersion.agreed >= PROTOCOL_PIPELINES,
    coreShare: facts.quota.core_share,
    holds: () => holdsFor(slot),
    entitled: () => leases.entitled(String(slot)) === claim,
    spareElsewhere: (own, spec) =>
      [...ownSummaries(), ...peerNetwork.summaries()].some(
        (summary) =>
          summary.share !== own &&
          summary.spares.some((spare) => {
            const type = catalog()?.get(spare.type);
            return type !== undefined && placeAllowed(spec, spare) && fitsIn(spec, type);
          }),
      ),
    now,
    processorMs: ports.processorMs,
    wall,
    // Asked for at the very moment of sending: this process may have stood still since the decision.
    direct: (addr, token, session, commands) =>
      leases.entitled(String(slot)) === claim
        ? line.send(addr, token, session, commands)
        : Promise.resolve({ _tag: 'refused', report: null }),
    returnNow: (machines) =>
      returnUrgently(
        {
          share: slot,
          duty: registry.share(slot, 'reclaim'),
          me: me.node,
          leaderNode,
          stateAge,
          returnHere: (own) => leader.returnNow(own),
          ask: (node, path, body, timeoutMs) => peerNetwork.ask(node, path, body, timeoutMs),
        },
        machines,
      ),
    cleanUp: features.fencing ? registry.share(slot, 'clean-up') : null,
    loaded: () => registry.shareLoaded(slot, claim),
    settled: (job, final) => pipelines.settle(job, final),
    readiness: (job) => pipelines.readiness(job),
    standing: (job) => pipelines.standing(job),
    changed: () => peerNetwork.notifyLeader(),
  });

  /** A share object lives as long as this process's claim with this very revision. */
  const followClaim = (slot: number): void => {
    const claim = leases.mine(String(slot));
    const held = shares.get(slot);
    if (held && held.share.claim === claim) return;
    if (held) {
      held.share.lose();
      shares.delete(slot);
    }
    if (claim === null) return;
    const share = new Share(slot, claim, shareInput(slot, claim));
    shares.set(slot, { share, fiber: Effect.runFork(supervise(`share.${slot}`, share.run)) });
    pipelines.lookAll();
    log.info({ event: 'share.taken', share: slot, claim });
  };

  const pipelines = new Pipelines({
    cache: cache,
    finals,
    ours: (team) => shares.has(shareOfTeam.get(team) ?? 0),
    changed: (ids) => {
      for (const id of ids) for (const { share } of shares.values()) share.onStanding(id);
    },
  });
  /** The jobs that one follows; null: not all parts of the list are there yet. */
  const followsOf = (record: JobRecord): readonly string[] | null => {
    const parts = Array.from({ length: record.parts }, (_, part) =>
      cache.get(followsKey(record.spec.id, part)),
    );
    if (parts.some((part) => part === undefined)) return null;
    return [...record.follows, ...parts.flatMap((part) => unpackIds(part?.value as string[]))];
  };

  cache.onEvent((event) => {
    const key = event._tag === 'put' ? event.item.key : event.key;
    const id = key.slice(4);
    relay.onEvent(event);
    if (key.startsWith('w/c/')) {
      const slot = key.slice('w/c/'.length);
      const held = leases.claim(slot);
      if (held) gate.seen(slot, held.version);
      registry.onClaim(slot);
      for (let slot = 0; slot < slots; slot += 1) if (key === claimKey(String(slot))) followClaim(slot);
      return;
    }
    if (event._tag === 'put' && key.startsWith('w/j/')) {
      const record = readJobRecord(event.item.value);
      scarceTypes.note(record.spec);
      bootBoundTypes.note(record.spec);
      pipelines.onJob(id, record, followsOf(record));
      if (record.cancelled)
        durableAcknowledgements.saw(shareOfTeam.get(record.spec.team) ?? 0, event.item.version);
    }
    // A part may be seen after the record that it belongs to.
    if (event._tag === 'put' && key.startsWith('w/d/')) {
      const item = cache.get(jobKey(id.slice(0, id.indexOf('/'))));
      if (item) {
        const record = readJobRecord(item.value);
        pipelines.onJob(record.spec.id, record, followsOf(record));
      }
    }
    for (const { share } of shares.values()) {
      if (key.startsWith('w/m/')) {
        if (event._tag === 'put') share.onMachineRecord(event.item);
        else share.onMachineGone(id);
      } else if (key.startsWith('w/j/')) {
        if (event._tag === 'put') share.onJobRecord(event.item);
        else share.onJobGone(id);
      }
    }
    if (event._tag === 'delete' && key.startsWith('w/j/')) pipelines.onJobGone(id);
  });

  const users = new UsersApi({
    store,
    fresh,
    finals,
    pipelines,
    takesPipelines: () => protocolVersion.agreed >= PROTOCOL_PIPELINES,
    valueBytes,
    copyAgeMs: () => leaseClock() - cache.freshAt,
    assured: (id, team, version) => acknowledgement.assured(shareOfTeam.get(team) ?? 0, id, version),
    cache: cache,
    catalog,
    zones: facts.zones,
    limits,
    counts: (id, team) => {
      const slot = shareOfTeam.get(team) ?? 0;
      return entitledShare(slot)?.counts(id) ?? peerNetwork.counts(slot, id);
    },
    wall,
  });

  /** Ready means: takes users' requests at least as well as the other nodes. */
  const ready = (): boolean => {
    if (!cache.ready || catalog() === null) return false;
    return stateAge() < HEARTBEAT_FRESH_MS || peerNetwork.stateReachability().up === 0;
  };

  const duties = new DutiesApi({
    node: me.node,
    registry,
    access: adminAccess,
    ready: () => cache.ready,
    releaseIntents: () => leader.releaseIntents,
    rentals: readRentals,
  });

  const route = createRouter({ ready, reports: reportHandler, users, duties });

  return {
    route,
    peerRoute: (call) => peerNetwork.handle(call),
    run: Effect.all(
      [
        supervise('cache', cache.run),
        supervise('leases', leases.run),
        supervise('peers', peerNetwork.run),
        supervise('leader', leader.run),
        supervise('relay', relay.run),
        supervise(
          'rates',
          shareRates(store, () => peerNetwork.demands()),
        ),
        supervise('protocolVersion', protocolVersion.run),
        supervise('pipelines', pipelines.run),
        supervise('acknowledgements', durableAcknowledgements.run),
      ],
      { concurrency: 'unbounded' },
    ),
    stop: () => {
      for (const { share, fiber } of shares.values()) {
        share.lose();
        Effect.runFork(Fiber.interrupt(fiber));
      }
    },
  };
};

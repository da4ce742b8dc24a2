/** Builds heartbeats between controllers for tests. */
import type { PeerHeartbeat } from '../peers/heartbeat.js';

/** A heartbeat of a controller with nothing to report, except for the given fields. */
export const heartbeatFrom = (from: string, fields: Partial<PeerHeartbeat> = {}): PeerHeartbeat => ({
  from,
  incarnation: '1',
  lease: 1,
  storeSilenceMs: 0,
  summaries: [],
  counts: [],
  workersUnreachable: false,
  misroutedHeartbeats: {},
  demand: { requests: 0, changes: 0 },
  reservations: [],
  ...fields,
});

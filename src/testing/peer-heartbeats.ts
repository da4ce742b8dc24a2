/** Builds heartbeats between controllers for tests. */
import type { PeerHeartbeat } from '../peers/heartbeat.js';

/** A heartbeat of a controller that has nothing to tell, but for the fields given. */
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

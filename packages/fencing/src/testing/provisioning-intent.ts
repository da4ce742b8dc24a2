/** Provisioning intents for tests. */
import type { ProvisioningIntent } from '../provisioning-record.js';

/** Returns an intent with this name, created at a time (ms since the epoch). */
export const provisioningIntent = (name: string, at = 0): ProvisioningIntent => ({
  name,
  machineType: 'g8',
  zone: 'a',
  spot: true,
  shardIds: [0, 2],
  at,
});

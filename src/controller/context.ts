/**
 * The settings, ports, clocks and store access that every subsystem of a controller uses. Created once by the
 * composition root; depends on no subsystem.
 */
import type { Features } from '../settings/features.js';
import type { Settings } from '../settings/schema.js';
import { createClocks, type Clocks } from './clocks.js';
import { readDeployment, type Deployment } from './deployment.js';
import type { Ports } from './ports.js';
import { createStoreAccess, type StoreAccess } from './store-access.js';

/** The settings, ports, clocks and store access that every subsystem of a controller uses. */
export interface ControllerContext {
  readonly settings: Settings;
  readonly features: Features;
  readonly ports: Ports;
  readonly deployment: Deployment;
  readonly clocks: Clocks;
  readonly storeAccess: StoreAccess;
}

/** Creates the context of one controller. */
export const createContext = (settings: Settings, ports: Ports, features: Features): ControllerContext => {
  const deployment = readDeployment(settings, ports.incarnation);
  const clocks = createClocks(ports, features, settings.facts.clock_error_ms);
  const storeAccess = createStoreAccess({
    address: settings.services.state,
    deployment,
    leaseClock: clocks.lease,
    createHttpClient: ports.createHttpClient,
  });
  return { settings, features, ports, deployment, clocks, storeAccess };
};

/** Key names in the state service. Everything that all nodes follow stands under one prefix: one watch. */
export const SHARED = 'w/';
export const claimKey = (slot: string): string => `w/c/${slot}`;
export const machineKey = (id: string): string => `w/m/${id}`;
export const jobKey = (id: string): string => `w/j/${id}`;
export const summaryKey = (slot: number): string => `w/s/${slot}`;
export const ordersKey = (slot: number): string => `w/o/${slot}`;
/** A holder's durable word that it has seen the shared keys up to a revision (`cancellation/mark.ts`). */
export const markKey = (slot: string): string => `w/k/${slot}`;
/** What every node of this deployment is known to understand (`mesh/level.ts`). */
export const LEVEL_KEY = 'w/level';
export const CATALOG_KEY = 'w/catalog';
export const runsPrefix = (share: number): string => `r/${share}/`;
export const runKey = (share: number, job: string, chunk: number): string => `r/${share}/${job}/${chunk}`;
export const finalKey = (id: string): string => `f/${id}`;

export const parseRunKey = (key: string): { job: string; chunk: number } | null => {
  const parts = key.split('/');
  const chunk = Number(parts[3]);
  return parts.length === 4 && parts[2] && Number.isInteger(chunk) ? { job: parts[2], chunk } : null;
};

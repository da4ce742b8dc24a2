/**
 * MessagePack over Node's own HTTP, with bounded sockets and bodies: what the rest of the service uses of it.
 * Client and server stand in `src/http/client.ts` and `src/http/server.ts`.
 */
export { PooledHttpClient } from './http/client.js';
export {
  parseTarget,
  WITHHELD,
  type CallOutcome,
  type HttpClient,
  type HttpClientFactory,
  type ServerRequest,
  type ServerResponse,
  type Target,
} from './http/model.js';
export { decode, encode, oneWrite } from './http/msgpack.js';
export { serve } from './http/server.js';

/** Responses that several handlers of the users' API share. Owns no state. */
import { RETRY_AFTER_S } from '../constants/users-api.js';
import type { ServerResponse } from '../http/model.js';

/** Asks the user to retry: the request can't be answered, or its effect can't be made durable, now. */
export const RETRY_LATER: ServerResponse = {
  status: 503,
  body: { error: 'not able to answer now' },
  headers: { 'retry-after': String(RETRY_AFTER_S) },
};

/** The response that no job has this id. It repeats the id as given. */
export const noSuchJob = (id: string): ServerResponse => ({ status: 404, body: { error: `no job ${id}` } });

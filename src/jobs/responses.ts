/** Answers of the users' API that several of its parts give. Owns no state. */
import { RETRY_AFTER_S } from '../constants/users-api.js';
import type { ServerResponse } from '../http/model.js';

/** The user has to ask again: what was asked can't be said or made durable now. */
export const RETRY_LATER: ServerResponse = {
  status: 503,
  body: { error: 'not able to answer now' },
  headers: { 'retry-after': String(RETRY_AFTER_S) },
};

/** No job has this id; the id is repeated as given. */
export const noSuchJob = (id: string): ServerResponse => ({ status: 404, body: { error: `no job ${id}` } });

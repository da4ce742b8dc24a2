/**
 * The users' API: routes submissions, polls and cancellations of jobs. Owns no state; called by the router
 * of the API address.
 */
import * as Effect from 'effect/Effect';
import { MAX_ECHOED_ID_CHARS } from '../constants/users-api.js';
import type { ServerRequest, ServerResponse } from '../http/model.js';
import { isJobId } from './submission-codec.js';
import { JobLookup } from './job-lookup.js';
import { JobStatusHandler } from './job-status.js';
import { JobSubmissionHandler } from './job-submission.js';
import type { UsersApiDependencies } from './ports.js';
import { noSuchJob } from './responses.js';

const methodNotAllowed = (allowed: string): ServerResponse => ({ status: 405, headers: { allow: allowed } });

/** Answers users. */
export class UsersApi {
  private readonly status: JobStatusHandler;
  private readonly submission: JobSubmissionHandler;

  constructor(dependencies: UsersApiDependencies) {
    const lookup = new JobLookup(dependencies);
    this.status = new JobStatusHandler(dependencies, lookup);
    this.submission = new JobSubmissionHandler(dependencies, lookup, this.status);
  }

  /** Answers a call whose path, below that of the jobs, has these segments: none, id, or id and `abort`. */
  handle(request: ServerRequest, segments: readonly string[]): Effect.Effect<ServerResponse> {
    const [id, verb] = segments;
    if (id === undefined) return this.submit(request);
    if (segments.length > 2 || (verb !== undefined && verb !== 'abort'))
      return Effect.succeed({ status: 404 });
    const method = verb === undefined ? 'GET' : 'POST';
    if (request.method !== method) return Effect.succeed(methodNotAllowed(method));
    if (!isJobId(id)) return Effect.succeed(noSuchJob(id.slice(0, MAX_ECHOED_ID_CHARS)));
    return verb === undefined ? this.status.poll(id) : this.status.cancel(id);
  }

  private submit({ method, body }: ServerRequest): Effect.Effect<ServerResponse> {
    if (method !== 'POST') return Effect.succeed(methodNotAllowed('POST'));
    if (body._tag !== 'value') return Effect.succeed({ status: 400, body: { error: `body: ${body._tag}` } });
    return this.submission.submit(body.value);
  }
}

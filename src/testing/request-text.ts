/** Formats requests to the stand-ins and their outcomes as single lines of a timeline. No state. */
import type { CallOutcome } from '../http/model.js';
import type { ReceivedRequest } from './loopback.js';

/**
 * The fields that identify the effect of a request: a provisioning request, machines, or keys of a
 * transaction.
 */
interface EffectBody {
  readonly hire?: string;
  readonly drovers?: readonly string[];
  readonly writes?: readonly { readonly write?: string; readonly remove?: string }[];
}

interface WatchBody {
  readonly news?: readonly {
    readonly write?: string;
    readonly remove?: string;
    readonly brandMark: number;
  }[];
}

/** Formats a request; of its body only the fields that identify its effect. */
export const textOfRequest = ({ service, call }: ReceivedRequest): string => {
  const body: EffectBody = call.body._tag === 'value' ? (call.body.value ?? {}) : {};
  const keys = body.writes?.map((write) => write.write ?? write.remove).join();
  const subject = body.hire ?? body.drovers?.join() ?? keys ?? '';
  return `${service} ${call.method} ${call.path} ${subject}`.trimEnd();
};

/** Formats the status of an answer, and the changes in the answer of a watch. */
export const textOfOutcome = (outcome: CallOutcome): string => {
  if (outcome._tag !== 'response') return outcome._tag;
  const { news } = (outcome.body ?? {}) as WatchBody;
  const changes = news?.map(({ write, remove, brandMark }) => `${write ?? `-${remove}`}@${brandMark}`);
  return changes === undefined ? String(outcome.status) : `${outcome.status} news: ${changes.join()}`;
};

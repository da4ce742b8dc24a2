/** Requests to the stand-ins, and their outcomes, as one line each of a timeline. No state. */
import type { CallOutcome } from '../http/model.js';
import type { ReceivedRequest } from './loopback.js';

/** What names the effect of a request: a rental, machines, or the keys of a transaction. */
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

/** A request; of its body only what names its effect. */
export const textOfRequest = ({ service, call }: ReceivedRequest): string => {
  const body: EffectBody = call.body._tag === 'value' ? (call.body.value ?? {}) : {};
  const keys = body.writes?.map((write) => write.write ?? write.remove).join();
  const subject = body.hire ?? body.drovers?.join() ?? keys ?? '';
  return `${service} ${call.method} ${call.path} ${subject}`.trimEnd();
};

/** The status of an answer, and the changes that a watch tells of. */
export const textOfOutcome = (outcome: CallOutcome): string => {
  if (outcome._tag !== 'response') return outcome._tag;
  const { news } = (outcome.body ?? {}) as WatchBody;
  const changes = news?.map(({ write, remove, brandMark }) => `${write ?? `-${remove}`}@${brandMark}`);
  return changes === undefined ? String(outcome.status) : `${outcome.status} news: ${changes.join()}`;
};

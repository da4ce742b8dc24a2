/**
 * Schema of the settings file that the platform provides, with the platform's field names. Fields that the
 * schema does not name are ignored. Owns no state; the program reads the file once at start.
 */
import * as Schema from 'effect/Schema';
import * as Result from 'effect/Result';

const NonNegative = Schema.Number.check(Schema.isGreaterThanOrEqualTo(0));
const Positive = Schema.Number.check(Schema.isGreaterThan(0));
const Count = Schema.Int.check(Schema.isGreaterThanOrEqualTo(1));
const Name = Schema.String.check(Schema.isMinLength(1));
const Address = Schema.String.check(Schema.isPattern(/^[^:\s]+:\d{1,5}$/));

const Team = Schema.Struct({
  name: Name,
  cpus: NonNegative,
  cpus_max: NonNegative,
  gpus: NonNegative,
  gpus_max: NonNegative,
});

const Settings = Schema.Struct({
  host_name: Name,
  area: Name,
  api_addr: Address,
  mesh_addr: Address,
  siblings: Schema.Array(Schema.Struct({ host_name: Name, area: Name, endpoint: Address })),
  services: Schema.Struct({ cloud: Address, state: Address }),
  facts: Schema.Struct({
    count: Count,
    zones: Schema.Array(Name),
    teams: Schema.Array(Team),
    objectives: Schema.optional(Schema.Array(Schema.Unknown)),
    workers: Schema.Struct({
      report_s: Positive,
      lease_s: Positive,
      gang_wait_s: Positive,
      gang_peer_s: Positive,
      cancel_s: Positive,
    }),
    state: Schema.Struct({
      rps: Positive,
      write_rps: Positive,
      value_kb: Positive,
      txn_ops: Count,
      // Announced limits, which replace the current limits later without a further notice.
      next: Schema.optional(
        Schema.NullOr(
          Schema.Struct({
            rps: Schema.optional(Positive),
            write_rps: Schema.optional(Positive),
            value_kb: Schema.optional(Positive),
            txn_ops: Schema.optional(Count),
          }),
        ),
      ),
    }),
    cloud: Schema.Struct({ rps: Positive, list_lag_s: NonNegative }),
    quota: Schema.Struct({ core_share: Positive, ram_mb: Positive, fd_limit: Count }),
    clock_error_ms: NonNegative,
  }),
});

/** The checked settings file. */
export type Settings = typeof Settings.Type;
/** A team as the settings describe it. */
export type Team = typeof Team.Type;

const decode = Schema.decodeUnknownResult(Settings);

/** Result of checking a settings file. */
export type CheckedSettings =
  { readonly _tag: 'ok'; readonly settings: Settings } | { readonly _tag: 'bad'; readonly message: string };

/**
 * Parses and checks a settings file. The message of a failure is one line that names the first missing or
 * invalid field.
 */
export const checkSettings = (text: string): CheckedSettings => {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    return { _tag: 'bad', message: `settings: not JSON: ${(error as Error).message.replace(/\s+/g, ' ')}` };
  }
  const result = decode(raw);
  if (Result.isSuccess(result)) return { _tag: 'ok', settings: result.success };
  return { _tag: 'bad', message: `settings: ${String(result.failure).replace(/\s+/g, ' ')}` };
};

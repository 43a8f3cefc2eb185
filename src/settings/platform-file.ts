/** The schema of the settings file that the platform provides, with the field names of the platform. */
import * as v from 'valibot';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const name = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT'));

const team = v.object({
  name,
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
});

const objective = v.object({
  kind: name,
  class: v.optional(name),
  share: v.optional(amount),
  within_s: v.optional(amount),
  times: v.optional(amount),
});

const stateLimits = v.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: count });

/** The schema of the platform's settings file. Unknown fields are ignored. */
export const platformFileSchema = v.object({
  label: name,
  location: name,
  serve_on: address,
  back: address,
  others: v.array(v.object({ label: name, location: name, address })),
  endpoints: v.object({ cloud: address, state: address }),
  settings: v.object({
    count,
    zones: v.pipe(v.array(name), v.minLength(1)),
    teams: v.array(team),
    objectives: v.optional(v.array(objective), []),
    workers: v.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: v.object({ ...stateLimits.entries, next: v.nullish(v.partial(stateLimits)) }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    quota: v.object({ cores: positive, mem_mb: positive, max_sockets: count }),
    clock_error_ms: v.optional(amount, 0),
  }),
});

/** The content of the platform's settings file, after each field was checked separately. */
export type PlatformFile = v.InferOutput<typeof platformFileSchema>;

/**
 * The settings of the deployment. Every controller reads its own settings file. All fields of this section
 * except `quota` have the same values in the files of all controllers. `quota` is the resource limit of the
 * one controller that reads the file.
 */
export type DeploymentSection = PlatformFile['settings'];

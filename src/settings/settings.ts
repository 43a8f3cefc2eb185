import * as v from 'valibot';
import { minPageBytes } from '../wire/ledger-records.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const name = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT'));

const stateLimits = v.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: count });

const schema = v.object({
  label: name,
  location: name,
  serve_on: address,
  back: address,
  others: v.array(v.object({ label: name, location: name, address })),
  endpoints: v.object({ cloud: address, state: address }),
  settings: v.object({
    count,
    zones: v.pipe(v.array(name), v.minLength(1)),
    teams: v.array(
      v.object({
        name,
        cpus: v.optional(amount, 0),
        cpus_max: v.optional(amount, 0),
        gpus: v.optional(amount, 0),
        gpus_max: v.optional(amount, 0),
      }),
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: name,
          class: v.optional(name),
          share: v.optional(amount),
          within_s: v.optional(amount),
          times: v.optional(amount),
        }),
      ),
      [],
    ),
    workers: v.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: v.object({ ...stateLimits.entries, next: v.nullish(v.partial(stateLimits)) }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    quota: v.object({ cores: positive, mem_mb: positive, max_sockets: count }),
    clock_error_ms: v.optional(amount, 0),
  }),
});

export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  accelerators: number;
  acceleratorsMax: number;
}

export interface Objective {
  kind: string;
  jobClass: string | undefined;
  share: number | undefined;
  withinS: number | undefined;
  times: number | undefined;
}

/** Limits of the state service. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  /** The smaller of the present and the coming limits: what is written keeps to it from the start. */
  valueBytes: number;
  txnOps: number;
  /** Present size of a value, by which earlier versions lay out what they write. */
  presentValueBytes: number;
  /** The part of the present rates that is left once the coming limits hold. */
  nextRateShare: number;
}

/** The platform's settings under our own names; durations in milliseconds. */
export interface Settings {
  label: string;
  zone: string;
  serveOn: string;
  peerOn: string;
  peers: { label: string; zone: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  controllers: number;
  zones: string[];
  teams: Map<string, Team>;
  objectives: Objective[];
  heartbeatIntervalMs: number;
  workerLeaseMs: number;
  cancelDeadlineMs: number;
  state: StateLimits;
  cloud: { rps: number; listLagMs: number };
  quota: { cores: number; memoryMb: number; sockets: number };
}

export class SettingsError extends Error {}

/** A controller without any work holds some 80 MB; below this it would end and start again for ever. */
const leastMemoryMb = 96;

const leastTxnOps = 2;

/** Checks the settings; the error names the first field that is wrong. */
export function parseSettings(json: string): Settings {
  let raw: unknown;
  try {
    raw = JSON.parse(json);
  } catch (error) {
    throw new SettingsError(`not valid JSON: ${error instanceof Error ? error.message : String(error)}`);
  }
  const result = v.safeParse(schema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`field ${v.getDotPath(issue) ?? '(whole file)'}: ${issue.message}`);
  }
  const file = result.output;
  const s = file.settings;
  if (s.workers.cancel_s <= s.workers.lease_s) {
    throw new SettingsError('field settings.workers.cancel_s: must be more than lease_s');
  }
  // An end is two changes at once, and a page of the ledger holds an entry at least.
  const txnOps = Math.min(s.state.txn_ops, s.state.next?.txn_ops ?? Infinity);
  if (txnOps < leastTxnOps) {
    throw new SettingsError(`field settings.state.txn_ops: must be at least ${leastTxnOps}`);
  }
  if (s.quota.mem_mb < leastMemoryMb) {
    throw new SettingsError(`field settings.quota.mem_mb: must be at least ${leastMemoryMb}`);
  }
  const leastKb = Math.ceil(minPageBytes / 1024);
  const valueKb = Math.min(s.state.value_kb, s.state.next?.value_kb ?? Infinity);
  if (valueKb < leastKb) {
    throw new SettingsError(`field settings.state.value_kb: must be at least ${leastKb}`);
  }
  return {
    label: file.label,
    zone: file.location,
    serveOn: file.serve_on,
    peerOn: file.back,
    peers: file.others.map((o) => ({ label: o.label, zone: o.location, address: o.address })),
    cloudAddress: file.endpoints.cloud,
    stateAddress: file.endpoints.state,
    controllers: s.count,
    zones: s.zones,
    teams: new Map(
      s.teams.map((t) => [
        t.name,
        {
          name: t.name,
          cpus: t.cpus,
          cpusMax: t.cpus_max,
          accelerators: t.gpus,
          acceleratorsMax: t.gpus_max,
        },
      ]),
    ),
    objectives: s.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class,
      share: o.share,
      withinS: o.within_s,
      times: o.times,
    })),
    heartbeatIntervalMs: s.workers.report_s * 1000,
    workerLeaseMs: s.workers.lease_s * 1000,
    cancelDeadlineMs: s.workers.cancel_s * 1000,
    state: {
      rps: s.state.rps,
      writeRps: s.state.write_rps,
      valueBytes: valueKb * 1024,
      txnOps,
      presentValueBytes: s.state.value_kb * 1024,
      nextRateShare: Math.min(1, (s.state.next?.write_rps ?? s.state.write_rps) / s.state.write_rps),
    },
    cloud: { rps: s.cloud.rps, listLagMs: s.cloud.list_lag_s * 1000 },
    quota: { cores: s.quota.cores, memoryMb: s.quota.mem_mb, sockets: s.quota.max_sockets },
  };
}

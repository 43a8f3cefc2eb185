/** The platform's settings, checked and under our own names. */
import * as v from 'valibot';

import { minPageBytes } from '../wire/ledger-records.js';
import { SettingsError, SettingsFieldError } from './errors.js';
import { type DeploymentSection, type PlatformFile, platformFileSchema } from './platform-file.js';

/** A team with its quota: what it is guaranteed, and the limit up to which it may borrow. A limit of 0 means none. */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  accelerators: number;
  acceleratorsMax: number;
}

/** A service-level objective: of a class's jobs or tasks, `share` have to meet what `kind` says. */
export interface Objective {
  kind: string;
  jobClass: string | undefined;
  share: number | undefined;
  withinS: number | undefined;
  /** Multiple of a job's deadline, for objectives on deadlines. */
  times: number | undefined;
}

/** Limits of the state service. */
export interface StateLimits {
  rps: number;
  writeRps: number;
  /** The smaller of the present and the coming limits: what is written keeps to it from the start. */
  valueBytes: number;
  /** Changes in a transaction, likewise the smaller of both. */
  txnOps: number;
  /** Present size of a value, by which earlier versions lay out what they write. */
  presentValueBytes: number;
  /** The part of the present rates that is left once the coming limits hold. */
  nextRateShare: number;
}

/** Settings of one controller. Durations are in milliseconds, addresses are HOST:PORT. */
export interface Settings {
  label: string;
  zone: string;
  /** Where users, workers and health checks connect. */
  serveOn: string;
  /** Where the other controllers connect. */
  peerOn: string;
  peers: { label: string; zone: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  /** How many controllers the deployment has, this one included. */
  controllers: number;
  zones: string[];
  teams: Map<string, Team>;
  objectives: Objective[];
  heartbeatIntervalMs: number;
  /** How long a worker keeps its tasks after sending the last heartbeat that was answered. */
  workerLeaseMs: number;
  /** How long the tasks of a cancelled job may go on after its user was told. */
  cancelDeadlineMs: number;
  state: StateLimits;
  cloud: { rps: number; listLagMs: number };
  /** What the platform grants this process. */
  quota: { cores: number; memoryMb: number; sockets: number };
}

/** A controller without any work holds some 80 MB; below this it would end and start again for ever. */
const minMemoryMb = 96;

/** An outcome is two changes at once. */
const minTxnOps = 2;

/** A page of the ledger holds an entry at least. */
const minValueKb = Math.ceil(minPageBytes / 1024);

/**
 * Checks the platform's file and translates it.
 * @throws SettingsError that names the first field that is wrong.
 */
export function parseSettings(json: string): Settings {
  const file = checkFields(parseJson(json));
  const { settings } = file;
  checkDeployment(settings);
  return {
    ...identityOf(file),
    controllers: settings.count,
    zones: settings.zones,
    teams: new Map(settings.teams.map((team) => [team.name, teamOf(team)])),
    objectives: settings.objectives.map(objectiveOf),
    heartbeatIntervalMs: settings.workers.report_s * 1000,
    workerLeaseMs: settings.workers.lease_s * 1000,
    cancelDeadlineMs: settings.workers.cancel_s * 1000,
    state: stateLimitsOf(settings.state),
    cloud: { rps: settings.cloud.rps, listLagMs: settings.cloud.list_lag_s * 1000 },
    quota: {
      cores: settings.quota.cores,
      memoryMb: settings.quota.mem_mb,
      sockets: settings.quota.max_sockets,
    },
  };
}

function parseJson(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new SettingsError(`not valid JSON: ${reason}`, { cause: error });
  }
}

function checkFields(raw: unknown): PlatformFile {
  const result = v.safeParse(platformFileSchema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new SettingsFieldError(v.getDotPath(issue) ?? '(whole file)', issue.message);
}

/** What no single field can say of itself. */
function checkDeployment({ workers, state, quota }: DeploymentSection): void {
  if (workers.cancel_s <= workers.lease_s) {
    throw new SettingsFieldError('settings.workers.cancel_s', 'must be more than lease_s');
  }
  requireAtLeast('settings.state.txn_ops', txnOpsOf(state), minTxnOps);
  requireAtLeast('settings.quota.mem_mb', quota.mem_mb, minMemoryMb);
  requireAtLeast('settings.state.value_kb', valueKbOf(state), minValueKb);
}

function requireAtLeast(field: string, value: number, min: number): void {
  if (value < min) throw new SettingsFieldError(field, `must be at least ${min}`);
}

type Identity = Pick<
  Settings,
  'label' | 'zone' | 'serveOn' | 'peerOn' | 'peers' | 'cloudAddress' | 'stateAddress'
>;

function identityOf(file: PlatformFile): Identity {
  return {
    label: file.label,
    zone: file.location,
    serveOn: file.serve_on,
    peerOn: file.back,
    peers: file.others.map(({ label, location, address }) => ({ label, zone: location, address })),
    cloudAddress: file.endpoints.cloud,
    stateAddress: file.endpoints.state,
  };
}

function teamOf(team: DeploymentSection['teams'][number]): Team {
  return {
    name: team.name,
    cpus: team.cpus,
    cpusMax: team.cpus_max,
    accelerators: team.gpus,
    acceleratorsMax: team.gpus_max,
  };
}

function objectiveOf(objective: DeploymentSection['objectives'][number]): Objective {
  return {
    kind: objective.kind,
    jobClass: objective.class,
    share: objective.share,
    withinS: objective.within_s,
    times: objective.times,
  };
}

function txnOpsOf({ txn_ops, next }: DeploymentSection['state']): number {
  return Math.min(txn_ops, next?.txn_ops ?? Infinity);
}

function valueKbOf({ value_kb, next }: DeploymentSection['state']): number {
  return Math.min(value_kb, next?.value_kb ?? Infinity);
}

function stateLimitsOf(state: DeploymentSection['state']): StateLimits {
  return {
    rps: state.rps,
    writeRps: state.write_rps,
    valueBytes: valueKbOf(state) * 1024,
    txnOps: txnOpsOf(state),
    presentValueBytes: state.value_kb * 1024,
    nextRateShare: Math.min(1, (state.next?.write_rps ?? state.write_rps) / state.write_rps),
  };
}

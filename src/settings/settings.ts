/** The platform's settings, checked and converted to the names and units used in the code. */
import * as v from 'valibot';

import { minPageBytes } from '../wire/ledger-records.js';
import { SettingsError, SettingsFieldError } from './errors.js';
import { type DeploymentSection, type PlatformFile, platformFileSchema } from './platform-file.js';

/**
 * A team and its quota. The quota consists of guaranteed amounts and of maximum amounts, up to which the team
 * may borrow. A maximum of 0 means no limit.
 */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  accelerators: number;
  acceleratorsMax: number;
}

/**
 * A service-level objective of a job class. The share `share` of the jobs or tasks of the class has to meet
 * the condition that `kind` names.
 */
export interface Objective {
  kind: string;
  jobClass: string | undefined;
  share: number | undefined;
  /**
   * For objectives of kind `wait` or `finished`: maximum time in seconds until all tasks of a job have
   * started or the job has ended. It is counted from the acceptance of the job, or from the end of its last
   * dependency if that is later.
   */
  withinS: number | undefined;
  /** For deadline objectives: the multiple of a job's deadline within which the job has to end. */
  deadlineMultiple: number | undefined;
}

/** Limits of the state service, derived from the current and the upcoming limits in the settings file. */
export interface StateLimits {
  /** The current limit of requests per second. */
  rps: number;
  /** The current limit of write requests per second. */
  writeRps: number;
  /**
   * Maximum size of a value in bytes: the smaller of the current and the upcoming limit, because controllers
   * observe the upcoming limit before it applies.
   */
  valueBytes: number;
  /** Maximum number of changes in a transaction: the smaller of the current and the upcoming limit. */
  txnOps: number;
  /**
   * The current maximum size of a value in bytes. Earlier versions derive the layout of their records from
   * it.
   */
  presentValueBytes: number;
  /**
   * The upcoming rate limit as a share of the current rate limit, at most 1. It is derived from the limit of
   * write requests.
   */
  nextRateShare: number;
}

/** Settings of one controller. Durations are in milliseconds. Addresses have the form HOST:PORT. */
export interface Settings {
  label: string;
  zone: string;
  /** Listen address for users, workers and health checks. */
  listenAddress: string;
  /** Listen address for the other controllers. */
  peerListenAddress: string;
  peers: { label: string; zone: string; address: string }[];
  cloudAddress: string;
  stateAddress: string;
  /** Number of controllers in the deployment, including this one. */
  controllers: number;
  zones: string[];
  teams: Map<string, Team>;
  objectives: Objective[];
  heartbeatIntervalMs: number;
  /**
   * Time for which a worker keeps its tasks running, counted from the sending of its latest heartbeat that
   * got a response.
   */
  workerLeaseMs: number;
  /**
   * Maximum time for which tasks of a cancelled job may go on running after the cancellation was confirmed to
   * the user.
   */
  cancelDeadlineMs: number;
  /** Maximum difference between the wall clock of a controller and the true time. */
  clockErrorMs: number;
  state: StateLimits;
  cloud: { rps: number; listLagMs: number };
  /** Resources that the platform grants to this process. */
  quota: { cores: number; memoryMb: number; sockets: number };
}

/**
 * Minimum memory of a controller in MB. A controller without any work uses some 80 MB. With less memory than
 * this minimum, the process would exit and restart again and again.
 */
const minMemoryMb = 96;

/**
 * Minimum number of changes per transaction, because the commit of a job's outcome consists of two changes.
 */
const minTxnOps = 2;

/**
 * Minimum size limit of a value in KB, because a value has to hold a page of the ledger with at least one
 * entry.
 */
const minValueKb = Math.ceil(minPageBytes / 1024);

/**
 * Parses and checks the platform's settings file.
 * @throws SettingsError that names the first wrong field, or the reason why the file is not valid JSON.
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
    clockErrorMs: settings.clock_error_ms,
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

/** Checks conditions that involve several fields, and minimum values that the implementation requires. */
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
  'label' | 'zone' | 'listenAddress' | 'peerListenAddress' | 'peers' | 'cloudAddress' | 'stateAddress'
>;

function identityOf(file: PlatformFile): Identity {
  return {
    label: file.label,
    zone: file.location,
    listenAddress: file.serve_on,
    peerListenAddress: file.back,
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
    deadlineMultiple: objective.times,
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

/**
 * Wire form of the status messages that controllers send to each other. The `PeerLinks` of one controller
 * sends a status. The `PeerLinks` of the receiving controller passes it to `PeerStatusHandler`. Statuses are
 * not stored.
 *
 * | wire | in the code | unit or meaning |
 * | --- | --- | --- |
 * | `from` | `from` | label of the sender |
 * | `boot` | `incarnation` | opaque, a new one at each process start |
 * | `serial` | `sequence` | count from 1 in one incarnation |
 * | `echo` | `echoedSequence` | the latest `serial` received from the receiver, else 0 |
 * | `echoBoot` | `echoedIncarnation` | the receiver's `boot` in the same message, else empty |
 * | `knows` | `storeRevision` | revision of the state service |
 * | `contactAge` | `storeContactAgeMs` | ms |
 * | `token` | `fencingToken` | revision of the state service, 0 if the sender does not lead |
 * | `gone` | `terminatedMachines` | list of names |
 * | `up` | `bootedMachines` | list of names |
 * | `since` | `cancelledSince` | revision of the state service |
 * | `cancelled` | `cancelled` | list of [id of the job, revision of its outcome] |
 */
import { asNumber, asText, type Fields, isFieldMap } from './codec.js';

/** A cancelled job and the revision at which its outcome was stored. */
export type CancelledJob = [id: string, version: number];

/**
 * The cancellations that a controller lists for a peer. The list is complete for all revisions after
 * `cancelledSince`.
 */
export interface CancellationList {
  /**
   * A revision of the store. The list contains every cancellation with a later revision that the sender has
   * confirmed to a user.
   */
  cancelledSince: number;
  cancelled: CancelledJob[];
}

/** The status that a controller sends to each of its peers, several times per heartbeat interval. */
export interface PeerStatus extends CancellationList {
  /** The label of the sender. */
  from: string;
  incarnation: string;
  /** Increases with each status that the incarnation sends. */
  sequence: number;
  /** Time in ms since the sender's latest contact with the store. */
  storeContactAgeMs: number;
  /** The fencing token of the sender if it is the leader, else 0. */
  fencingToken: number;
  /**
   * The latest sequence number that the sender has received from the receiver's incarnation
   * `echoedIncarnation`, else 0.
   */
  echoedSequence: number;
  /**
   * The incarnation of the receiver that sent the echoed sequence number. Empty if there is no such number.
   */
  echoedIncarnation: string;
  /** The latest store revision that the sender's replica of the store contains. */
  storeRevision: number;
  /** Machines whose termination the cloud has recently confirmed to the sender. */
  terminatedMachines: string[];
  /** Machines whose first heartbeat the sender has recently received. */
  bootedMachines: string[];
}

/** The wire form of a status. */
export function peerStatusRecord(status: PeerStatus): Fields {
  return {
    from: status.from,
    boot: status.incarnation,
    serial: status.sequence,
    echo: status.echoedSequence,
    echoBoot: status.echoedIncarnation,
    knows: status.storeRevision,
    contactAge: status.storeContactAgeMs,
    token: status.fencingToken,
    gone: status.terminatedMachines,
    up: status.bootedMachines,
    since: status.cancelledSince,
    cancelled: status.cancelled,
  };
}

function isName(value: unknown): value is string {
  return typeof value === 'string';
}

function isCancelledJob(value: unknown): value is CancelledJob {
  return Array.isArray(value) && typeof value[0] === 'string' && typeof value[1] === 'number';
}

function isListOf<T>(list: unknown, isItem: (value: unknown) => value is T): list is T[] {
  return Array.isArray(list) && list.every(isItem);
}

/**
 * Parses a status. Returns undefined if the message lacks the label of the sender or one of the lists, or if
 * an item of a list has another form.
 */
export function parsePeerStatus(message: unknown): PeerStatus | undefined {
  if (!isFieldMap(message)) return undefined;
  const { from: sender, gone, up, cancelled } = message;
  if (!isName(sender) || !isListOf(gone, isName) || !isListOf(up, isName)) return undefined;
  if (!isListOf(cancelled, isCancelledJob)) return undefined;
  return {
    from: sender,
    incarnation: asText(message['boot']),
    sequence: asNumber(message['serial']),
    echoedSequence: asNumber(message['echo']),
    echoedIncarnation: asText(message['echoBoot']),
    storeRevision: asNumber(message['knows']),
    storeContactAgeMs: asNumber(message['contactAge']),
    fencingToken: asNumber(message['token']),
    terminatedMachines: gone,
    bootedMachines: up,
    cancelledSince: asNumber(message['since']),
    cancelled,
  };
}

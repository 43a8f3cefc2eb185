/**
 * Wire form of the status messages that controllers send to each other. The `PeerLinks` of one controller
 * sends a status; the `PeerLinks` of the other receives it and passes it to `PeerStatusHandler`. Statuses are
 * not stored.
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `from` | `from` | label of the sender |
 * | `boot` | `incarnation` | opaque, a new one at each process start |
 * | `serial` | `sequence` | count from 1 in one incarnation |
 * | `echo` | `echoedSequence` | the receiver's `serial` last received, else 0 |
 * | `echoBoot` | `echoedIncarnation` | the receiver's `boot` in the same message, else empty |
 * | `knows` | `storeRevision` | revision of the state service |
 * | `contactAge` | `storeContactAgeMs` | ms |
 * | `token` | `fencingToken` | revision of the state service, 0 while the sender does not lead |
 * | `gone` | `terminatedMachines` | list of names |
 * | `up` | `bootedMachines` | list of names |
 * | `since` | `cancelledSince` | revision of the state service |
 * | `cancelled` | `cancelled` | list of [id of the job, revision of its outcome] |
 */
import { asNumber, asText, type Fields, isFieldMap } from './codec.js';

/** A cancelled job and the revision at which its outcome was stored. */
export type CancelledJob = [id: string, version: number];

/** The cancellations that a controller lists for a peer; the list is complete after `cancelledSince`. */
export interface CancellationList {
  /** A revision: the list has every later cancellation that the sender has confirmed to a user. */
  cancelledSince: number;
  cancelled: CancelledJob[];
}

/** The status that a controller sends to each of the others, several times per heartbeat interval. */
export interface PeerStatus extends CancellationList {
  /** The label of the sender. */
  from: string;
  incarnation: string;
  /** Increases with each status that the incarnation sends. */
  sequence: number;
  /** How long the sender has had no contact with the store, in ms. */
  storeContactAgeMs: number;
  /** The sender's fencing token while it leads, else 0. */
  fencingToken: number;
  /** The last sequence number that the sender has received from this incarnation of the receiver, else 0. */
  echoedSequence: number;
  /** The incarnation of the receiver that sent the echoed sequence number; empty if there is none. */
  echoedIncarnation: string;
  /** The revision that the sender's replica of the store has reached. */
  storeRevision: number;
  /** Machines that the sender has recently proven to be terminated. */
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

/**
 * Parses a status; undefined if the message does not name its sender or lacks one of the lists. The items of
 * the lists are not validated, since only controllers send statuses.
 */
export function parsePeerStatus(message: unknown): PeerStatus | undefined {
  if (!isFieldMap(message)) return undefined;
  const sender = message['from'];
  const lists = [message['cancelled'], message['gone'], message['up']];
  if (typeof sender !== 'string' || !lists.every(Array.isArray)) return undefined;
  return {
    from: sender,
    incarnation: asText(message['boot']),
    sequence: asNumber(message['serial']),
    echoedSequence: asNumber(message['echo']),
    echoedIncarnation: asText(message['echoBoot']),
    storeRevision: asNumber(message['knows']),
    storeContactAgeMs: asNumber(message['contactAge']),
    fencingToken: asNumber(message['token']),
    terminatedMachines: message['gone'] as string[],
    bootedMachines: message['up'] as string[],
    cancelledSince: asNumber(message['since']),
    cancelled: message['cancelled'] as CancelledJob[],
  };
}

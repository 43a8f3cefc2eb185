/**
 * What controllers tell each other of themselves. `PeerLinks` of one controller writes it, `PeerLinks` of the other reads it
 * and hands it to `PeerStatusHandler`. Nothing of it is stored.
 *
 * | wire | in the code | unit |
 * | --- | --- | --- |
 * | `from` | `from` | label of the sender |
 * | `boot` | `incarnation` | opaque, one for each life of a process |
 * | `serial` | `sequence` | count from 1 in one incarnation |
 * | `echo` | `echoedSequence` | the receiver's `serial` last received, else 0 |
 * | `echoBoot` | `echoedIncarnation` | the receiver's `boot` that goes with it, else empty |
 * | `knows` | `storeRevision` | revision of the state service |
 * | `contactAge` | `storeContactAgeMs` | ms |
 * | `token` | `fencingToken` | revision of the state service, 0 while the sender does not lead |
 * | `gone` | `terminatedMachines` | list of names |
 * | `up` | `bootedMachines` | list of names |
 * | `since` | `cancelledSince` | revision of the state service |
 * | `cancelled` | `cancelled` | list of [id of the job, revision of its outcome] |
 */
import { type Fields, isFields, number, text } from './codec.js';

/** A job that has ended as cancelled, and the revision of its end. */
export type CancelledJob = [id: string, version: number];

/** Cancellations as a controller lists them for a peer, and from which revision on the list is complete. */
export interface ListedCancellations {
  /** The sender has confirmed no cancellation with a version above this that is not on the list. */
  cancelledSince: number;
  cancelled: CancelledJob[];
}

/** What a controller tells the others of itself, several times in a heartbeat interval. */
export interface PeerStatus extends ListedCancellations {
  /** The label of the sender. */
  from: string;
  incarnation: string;
  /** Grows with each status that the incarnation sends. */
  sequence: number;
  /** How long the sender has been without the store, in ms. */
  storeContactAgeMs: number;
  /** The sender's fencing token while it leads, else 0. */
  fencingToken: number;
  /** The last sequence number that the sender has received from this incarnation of the receiver, else 0. */
  echoedSequence: number;
  /** The incarnation of the receiver that is echoed; empty before the first. */
  echoedIncarnation: string;
  /** The revision that the sender's replica of the store has reached. */
  storeRevision: number;
  /** Machines that the sender has lately proven terminated. */
  terminatedMachines: string[];
  /** Machines whose first heartbeat the sender has lately received. */
  bootedMachines: string[];
}

/** The sent form. */
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
 * The status; undefined where the message does not say whose it is, or lacks one of its lists. What the lists hold is not
 * checked: only controllers write them.
 */
export function parsePeerStatus(message: unknown): PeerStatus | undefined {
  if (!isFields(message)) return undefined;
  const sender = message['from'];
  const lists = [message['cancelled'], message['gone'], message['up']];
  if (typeof sender !== 'string' || !lists.every(Array.isArray)) return undefined;
  return {
    from: sender,
    incarnation: text(message['boot']),
    sequence: number(message['serial']),
    echoedSequence: number(message['echo']),
    echoedIncarnation: text(message['echoBoot']),
    storeRevision: number(message['knows']),
    storeContactAgeMs: number(message['contactAge']),
    fencingToken: number(message['token']),
    terminatedMachines: message['gone'] as string[],
    bootedMachines: message['up'] as string[],
    cancelledSince: number(message['since']),
    cancelled: message['cancelled'] as CancelledJob[],
  };
}

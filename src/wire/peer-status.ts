/** What controllers tell each other, as maps of MessagePack: field by field, whatever our own names for them are. */
import { type Fields, isFields, number, text } from './codec.js';

/** A job that has ended as cancelled, and the revision of its end. */
export type CancelledJob = [id: string, version: number];

/** What a controller tells the others of itself, several times in a report interval. */
export interface PeerStatus {
  from: string;
  incarnation: string;
  sequence: number;
  /** How long it has been without the state service, in ms. */
  storeContactAgeMs: number;
  /** Its token while it leads, else 0. */
  fencingToken: number;
  /** The last serial it has from the receiver in this life of the receiver, else 0. */
  echoedSequence: number;
  echoedIncarnation: string;
  /** The revision that its copy of the store has reached. */
  storeRevision: number;
  /** The cancelled jobs that it has learned of with a version above `since`: all that it can have told users of. */
  cancelled: CancelledJob[];
  cancelledSince: number;
  /** Machines that it has lately proven gone. */
  terminatedMachines: string[];
  /** Machines that it has lately heard of for the first time. */
  bootedMachines: string[];
}

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

/** Undefined where the message does not say whose it is, or lacks one of its lists; these are taken as they come. */
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

/** What controllers tell each other, as maps of MessagePack: field by field, whatever our own names for them are. */
import { type Fields, isFields, number, text } from './codec.js';

/** A job that has ended as cancelled, and the revision of its end. */
export type Cancelled = [id: string, version: number];

/** What a controller tells the others of itself, several times in a report interval. */
export interface PeerStatus {
  from: string;
  boot: string;
  serial: number;
  /** How long it has been without the state service, in ms. */
  contactAge: number;
  /** Its token while it leads, else 0. */
  token: number;
  /** The last serial it has from the receiver in this life of the receiver, else 0. */
  echo: number;
  echoBoot: string;
  /** The revision that its copy of the store has reached. */
  knows: number;
  /** The cancelled jobs that it has learned of with a version above `since`: all that it can have told users of. */
  cancelled: Cancelled[];
  since: number;
  /** Machines that it has lately proven gone. */
  gone: string[];
  /** Machines that it has lately heard of for the first time. */
  up: string[];
}

export function peerStatusRecord(status: PeerStatus): Fields {
  return {
    from: status.from,
    boot: status.boot,
    serial: status.serial,
    echo: status.echo,
    echoBoot: status.echoBoot,
    knows: status.knows,
    contactAge: status.contactAge,
    token: status.token,
    gone: status.gone,
    up: status.up,
    since: status.since,
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
    boot: text(message['boot']),
    serial: number(message['serial']),
    echo: number(message['echo']),
    echoBoot: text(message['echoBoot']),
    knows: number(message['knows']),
    contactAge: number(message['contactAge']),
    token: number(message['token']),
    gone: message['gone'] as string[],
    up: message['up'] as string[],
    since: number(message['since']),
    cancelled: message['cancelled'] as Cancelled[],
  };
}

/** Connections between the controllers, over which each tells the others its status several times in a heartbeat interval. */
import { createConnection, createServer, type Socket } from 'node:net';
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

import { PackrStream, UnpackrStream } from 'msgpackr';

import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import { parseSocketAddress } from '../base/socket-address.js';
import type { Settings } from '../settings/settings.js';
import {
  type ListedCancellations,
  parsePeerStatus,
  type PeerStatus,
  peerStatusRecord,
} from '../wire/peer-status.js';

/** What a peer last said of itself, and when at the earliest it can have said so. Moments are by our own clock, in ms. */
export interface LastPeerStatus {
  /** When the message of ours that the status answers was sent: the status was made later than that. */
  notBefore: number;
  /** How long the peer had been without the store when it said so. */
  storeContactAgeMs: number;
  /** Every cancellation that the peer confirmed before this moment is known here: it has listed them without a gap. */
  cancellationsKnownUntil: number;
}

/** What the links need of the rest of the controller. */
export interface PeerLinksPorts {
  clock: Clock;
  log: Log;
  settings: Pick<Settings, 'label' | 'peerOn' | 'peers' | 'controllers' | 'heartbeatIntervalMs'>;
  /** Tells one life of this process from the next. */
  incarnation: string;
  /** The revision that our replica of the store has reached. */
  storeRevision: () => number;
  /** What this controller says of itself now. */
  localStatus: () => Pick<
    PeerStatus,
    'storeContactAgeMs' | 'fencingToken' | 'terminatedMachines' | 'bootedMachines'
  >;
  /** All cancellations that we can have confirmed and a peer whose replica has reached this revision may lack. */
  cancellationsSince: (revision: number) => ListedCancellations;
  /** Called with each status that is newer than those that came before it. */
  onStatus: (status: PeerStatus) => void;
}

/** The last message from a peer. */
interface LastReceived {
  incarnation: string;
  sequence: number;
  storeRevision: number;
}

/** Statuses in a heartbeat interval: what they date decides on tens of seconds. */
const statusesPerHeartbeat = 4;
const minStatusIntervalMs = 500;
/** For so many of our latest messages we remember when they were sent. */
const sentTimesKept = 120;
/** A link that has been silent for so many status intervals is dead; its sender connects again. */
const idleTimeoutStatuses = 20;
/** A status waits while this much is queued on the socket: behind a cut the peer would get them late and in bulk. */
const maxQueuedBytes = 4096;
/** Connections that we accept, for each controller: those of a peer that has restarted may linger. */
const maxConnectionsPerController = 4;
/** Both ends must agree: a reader with the library's defaults gets a Map, of which no field can be read. */
const messagePackOptions = { useRecords: false };

/**
 * Links between controllers. Each status echoes the sequence number of the last one heard from its receiver, which dates it: a
 * status that a partition held back and delivered late proves nothing about now.
 */
export class PeerLinks {
  private lastSequence = 0;
  private readonly sentAtBySequence = new Map<number, number>();
  private readonly lastReceived = new Map<string, LastReceived>();
  private readonly lastStatuses = new Map<string, LastPeerStatus>();

  private readonly statusIntervalMs: number;

  constructor(private readonly ports: PeerLinksPorts) {
    this.statusIntervalMs = Math.max(
      minStatusIntervalMs,
      ports.settings.heartbeatIntervalMs / statusesPerHeartbeat,
    );
  }

  /** The last status of a peer that could be dated; undefined before the first. */
  lastStatus(label: string): LastPeerStatus | undefined {
    return this.lastStatuses.get(label);
  }

  /** Takes a status that has arrived. Strangers' statuses, and those that a later one has overtaken, are ignored. */
  receive(status: PeerStatus): void {
    const { settings, onStatus } = this.ports;
    const { from, incarnation, sequence, storeRevision } = status;
    if (!settings.peers.some((peer) => peer.label === from)) return;
    const last = this.lastReceived.get(from);
    if (last?.incarnation === incarnation && last.sequence >= sequence) return;
    this.lastReceived.set(from, { incarnation, sequence, storeRevision });
    onStatus(status);
    this.date(status);
  }

  /** Remembers the status with the moment at which it can have been made at the earliest, where its echo tells. */
  private date(status: PeerStatus): void {
    const { incarnation, storeRevision } = this.ports;
    const { from, storeContactAgeMs, cancelledSince, echoedSequence, echoedIncarnation } = status;
    if (echoedIncarnation !== incarnation) return;
    const notBefore = this.sentAtBySequence.get(echoedSequence);
    if (notBefore === undefined) return;
    // What an earlier status listed stays known, also where a new incarnation of the peer cannot list it again.
    const isComplete = cancelledSince <= storeRevision();
    const knownBefore = this.lastStatuses.get(from)?.cancellationsKnownUntil ?? -Infinity;
    const cancellationsKnownUntil = isComplete ? notBefore : knownBefore;
    this.lastStatuses.set(from, { notBefore, storeContactAgeMs, cancellationsKnownUntil });
  }

  /** The next status to a peer; it is taken to be sent now. */
  compose(receiver: string): PeerStatus {
    const { settings, incarnation, localStatus, storeRevision, cancellationsSince, clock } = this.ports;
    const received = this.lastReceived.get(receiver);
    const sequence = ++this.lastSequence;
    this.sentAtBySequence.set(sequence, clock());
    this.sentAtBySequence.delete(sequence - sentTimesKept);
    return {
      from: settings.label,
      incarnation,
      sequence,
      echoedSequence: received?.sequence ?? 0,
      echoedIncarnation: received?.incarnation ?? '',
      storeRevision: storeRevision(),
      ...localStatus(),
      ...cancellationsSince(received?.storeRevision ?? Infinity),
    };
  }

  /** Accepts the peers' connections and keeps one to each of them, until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    const { settings, log } = this.ports;
    await Promise.all([
      runRoutine('peer-server', signal, log, (running) => this.acceptConnections(running)),
      ...settings.peers.map(({ label, address }) =>
        runRoutine(
          `peer-${label}`,
          signal,
          log,
          (running) => this.sendStatuses(label, address, running),
          this.statusIntervalMs,
        ),
      ),
    ]);
  }

  private async acceptConnections(signal: AbortSignal): Promise<void> {
    const { peerOn, controllers } = this.ports.settings;
    const { host, port } = parseSocketAddress(peerOn);
    const server = createServer((socket) => this.acceptConnection(socket, signal));
    server.maxConnections = controllers * maxConnectionsPerController;
    await new Promise<void>((resolve, reject) => {
      server.on('error', reject);
      signal.addEventListener('abort', () => server.close(() => resolve()), { once: true });
      server.listen(port, host);
    });
  }

  private acceptConnection(socket: Socket, signal: AbortSignal): void {
    this.receiveStatuses(socket, signal).catch((error: unknown) => {
      this.ports.log.debug({ event: 'peer-link-lost', err: error }, 'incoming peer link ended');
    });
  }

  private async receiveStatuses(socket: Socket, signal: AbortSignal): Promise<void> {
    socket.setTimeout(this.statusIntervalMs * idleTimeoutStatuses, () => socket.destroy());
    const receiver = new Writable({
      objectMode: true,
      write: (message: unknown, _encoding, done) => {
        const status = parsePeerStatus(message);
        if (status !== undefined) this.receive(status);
        done();
      },
    });
    await pipeline(socket, new UnpackrStream(messagePackOptions), receiver, { signal });
  }

  private async sendStatuses(label: string, address: string, signal: AbortSignal): Promise<void> {
    const { host, port } = parseSocketAddress(address);
    const socket = createConnection({ host, port });
    socket.setTimeout(this.statusIntervalMs * idleTimeoutStatuses, () => socket.destroy());
    try {
      const statuses = Readable.from(this.statusStream(label, socket, signal), {
        objectMode: true,
        highWaterMark: 1,
      });
      await pipeline(statuses, new PackrStream(messagePackOptions), socket, { signal });
    } catch (error) {
      this.ports.log.debug({ event: 'peer-link-lost', peer: label, err: error }, 'outgoing peer link ended');
    } finally {
      socket.destroy();
    }
  }

  private async *statusStream(label: string, socket: Socket, signal: AbortSignal): AsyncGenerator {
    while (!signal.aborted) {
      if (socket.writableLength < maxQueuedBytes) yield peerStatusRecord(this.compose(label));
      await sleep(this.statusIntervalMs, signal);
    }
  }
}

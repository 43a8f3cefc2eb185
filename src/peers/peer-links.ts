/**
 * Connections over which each controller sends its status to its peers several times per heartbeat interval.
 */
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
  type CancellationList,
  parsePeerStatus,
  type PeerStatus,
  peerStatusRecord,
} from '../wire/peer-status.js';

/**
 * The last status of a peer whose age could be bounded. Times are readings of this controller's clock, in ms.
 */
export interface LastPeerStatus {
  /**
   * When this controller sent the message whose sequence number the status echoes. The peer created the
   * status later than that.
   */
  createdNotBefore: number;
  /** How long the peer had been without contact to the store when it created the status, in ms. */
  storeContactAgeMs: number;
  /**
   * This controller knows every cancellation that the peer confirmed before this time, because the lists in
   * the statuses of the peer have covered these cancellations without a gap.
   */
  cancellationsKnownUntil: number;
}

/** What the peer links require from the rest of the controller. */
export interface PeerLinksPorts {
  clock: Clock;
  log: Log;
  settings: Pick<Settings, 'label' | 'peerListenAddress' | 'peers' | 'controllers' | 'heartbeatIntervalMs'>;
  /** Identifies this process; a restarted process has a different one. */
  incarnation: string;
  /** The revision that this controller's replica of the store has reached. */
  storeRevision: () => number;
  /** The present values of the status fields that do not depend on the links. */
  localStatus: () => Pick<
    PeerStatus,
    'storeContactAgeMs' | 'fencingToken' | 'terminatedMachines' | 'bootedMachines'
  >;
  /**
   * All cancellations that this controller may have confirmed and that may be missing from the replica of a
   * peer which has reached this revision.
   */
  cancellationsSince: (revision: number) => CancellationList;
  /** Called with each received status that is newer than all earlier ones from the same peer. */
  onStatus: (status: PeerStatus) => void;
}

/** Fields of the last status received from a peer that the next status to that peer depends on. */
interface LastReceivedStatus {
  incarnation: string;
  sequence: number;
  storeRevision: number;
}

/**
 * Statuses sent per heartbeat interval. The times that they prove are used for decisions on a scale of tens
 * of seconds.
 */
const statusesPerHeartbeat = 4;
const minStatusIntervalMs = 500;
/** Send times are kept for this many of the latest statuses. */
const sentTimesKept = 120;
/** A link without traffic for this many status intervals is closed; the sending side then connects again. */
const idleTimeoutStatuses = 20;
/**
 * No status is sent while this many bytes or more are queued on the socket. During a network partition the
 * queued statuses would otherwise grow in number, and the peer would receive them late and all at once.
 */
const maxQueuedBytes = 4096;
/**
 * Incoming connections accepted per controller. More than one, as connections of a restarted peer may stay
 * open.
 */
const maxConnectionsPerController = 4;
/**
 * Both ends must use the same options: a receiver with the library's defaults decodes a status as a Map, and
 * the fields of a Map cannot be read as properties.
 */
const messagePackOptions = { useRecords: false };

/**
 * Links between controllers. Each status echoes the sequence number of the last status received from its
 * receiver. From the echo, the receiver derives the earliest time at which the status can have been created.
 * A status that a network partition delayed is therefore not taken for a recent one.
 */
export class PeerLinks {
  private lastSequence = 0;
  private readonly sentAtBySequence = new Map<number, number>();
  private readonly lastReceived = new Map<string, LastReceivedStatus>();
  private readonly lastStatuses = new Map<string, LastPeerStatus>();

  private readonly statusIntervalMs: number;

  constructor(private readonly ports: PeerLinksPorts) {
    this.statusIntervalMs = Math.max(
      minStatusIntervalMs,
      ports.settings.heartbeatIntervalMs / statusesPerHeartbeat,
    );
  }

  /** The last status of a peer whose creation time could be bounded; undefined before the first. */
  lastStatus(label: string): LastPeerStatus | undefined {
    return this.lastStatuses.get(label);
  }

  /**
   * Processes a received status. Ignores statuses of senders that are not configured as peers, and statuses
   * that arrive after a later one of the same incarnation.
   */
  receive(status: PeerStatus): void {
    const { settings, onStatus } = this.ports;
    const { from, incarnation, sequence, storeRevision } = status;
    if (!settings.peers.some((peer) => peer.label === from)) return;
    const last = this.lastReceived.get(from);
    if (last?.incarnation === incarnation && last.sequence >= sequence) return;
    this.lastReceived.set(from, { incarnation, sequence, storeRevision });
    onStatus(status);
    this.updateLastStatus(status);
  }

  /**
   * Stores the status with the earliest time at which it can have been created. Ignores a status that echoes
   * another incarnation of this controller, or a sequence number whose send time is no longer kept.
   */
  private updateLastStatus(status: PeerStatus): void {
    const { incarnation, storeRevision } = this.ports;
    const { from, storeContactAgeMs, cancelledSince, echoedSequence, echoedIncarnation } = status;
    if (echoedIncarnation !== incarnation) return;
    const notBefore = this.sentAtBySequence.get(echoedSequence);
    if (notBefore === undefined) return;
    // Cancellations listed by an earlier status stay known, even if a new incarnation of the peer cannot list
    // them again.
    const isListComplete = cancelledSince <= storeRevision();
    const previouslyKnownUntil = this.lastStatuses.get(from)?.cancellationsKnownUntil ?? -Infinity;
    const cancellationsKnownUntil = isListComplete ? notBefore : previouslyKnownUntil;
    this.lastStatuses.set(from, { createdNotBefore: notBefore, storeContactAgeMs, cancellationsKnownUntil });
  }

  /** Creates the next status for a peer and records the present time as its send time. */
  composeStatus(receiver: string): PeerStatus {
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

  /** Accepts connections from peers and maintains one connection to each peer, until the signal fires. */
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
    const { peerListenAddress, controllers } = this.ports.settings;
    const { host, port } = parseSocketAddress(peerListenAddress);
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
      this.ports.log.debug(
        { event: 'peer-link-lost', err: error },
        'incoming peer link closed; the peer is expected to reconnect',
      );
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
      this.ports.log.debug(
        { event: 'peer-link-lost', peer: label, err: error },
        'outgoing peer link closed; reconnects unless shutting down',
      );
    } finally {
      socket.destroy();
    }
  }

  private async *statusStream(label: string, socket: Socket, signal: AbortSignal): AsyncGenerator {
    while (!signal.aborted) {
      if (socket.writableLength < maxQueuedBytes) yield peerStatusRecord(this.composeStatus(label));
      await sleep(this.statusIntervalMs, signal);
    }
  }
}

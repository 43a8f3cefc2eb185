/**
 * Connections over which each controller sends its status to its peers (the other controllers) several times
 * per heartbeat interval.
 */
import { createConnection, createServer, type Socket } from 'node:net';
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';

import { PackrStream } from 'msgpackr';

import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import type { OnRefusal } from '../base/refusals.js';
import { runRoutine } from '../base/routine.js';
import { parseSocketAddress, senderOf } from '../base/socket-address.js';
import type { Settings } from '../settings/settings.js';
import { MalformedMessageError } from '../wire/message-errors.js';
import type { DecodeLimits } from '../wire/message-scanner.js';
import { type CancellationList, type PeerStatus, peerStatusRecord } from '../wire/peer-status.js';
import { StatusDecoder } from './status-decoder.js';

/**
 * The latest status of a peer for which a lower bound of the creation time is known. Times are monotonic
 * times of this controller, in ms.
 */
export interface LastPeerStatus {
  /**
   * Time at which this controller sent the status whose sequence number the peer echoes. The peer created its
   * own status later.
   */
  createdNotBefore: number;
  /** Time in ms since the peer's last contact with the store, at the creation of the status. */
  storeContactAgeMs: number;
  /**
   * All cancellations that the peer confirmed before this time are known to this controller, because the
   * lists in the statuses of the peer have covered them without a gap.
   */
  cancellationsKnownUntil: number;
}

/** The parts of the controller that the peer links use. */
export interface PeerLinksPorts {
  clock: Clock;
  log: Log;
  settings: Pick<
    Settings,
    'label' | 'peerListenAddress' | 'peers' | 'controllers' | 'heartbeatIntervalMs' | 'quota'
  >;
  /** Identifies this run of the controller process; a new value is chosen at every start. */
  incarnation: string;
  /** Returns the revision that this controller's replica of the store has reached. */
  storeRevision: () => number;
  /** Returns the current values of the status fields that do not depend on the links. */
  localStatus: () => Pick<
    PeerStatus,
    'storeContactAgeMs' | 'fencingToken' | 'terminatedMachines' | 'bootedMachines'
  >;
  /**
   * Returns the cancellations that this controller may have confirmed and that a peer whose replica is at
   * `revision` may be missing. If the list does not contain all of them, its `cancelledSince` is higher than
   * `revision`.
   */
  cancellationsSince: (revision: number) => CancellationList;
  /** Called with each received status of a peer, except for statuses that arrive out of order. */
  onStatus: (status: PeerStatus) => void;
  /** Receives each malformed message of a peer. The connection is closed. */
  onRefusal: OnRefusal;
}

/** Fields of the latest status received from a peer. The next status to this peer is derived from them. */
interface LastReceivedStatus {
  incarnation: string;
  sequence: number;
  storeRevision: number;
}

/**
 * Number of statuses sent to each peer per heartbeat interval. More frequent statuses are not needed, because
 * the times derived from the statuses are compared with limits of tens of seconds.
 */
const statusesPerHeartbeat = 4;
const minStatusIntervalMs = 500;
/** Number of sent statuses whose send times are stored. */
const sentTimesKept = 120;
/**
 * An outgoing link without traffic, or an incoming link without a status, for this many status intervals is
 * closed. The sending side then connects again.
 */
const idleTimeoutStatuses = 20;
/**
 * No status is sent while this many bytes or more are queued on the socket. Without this limit, statuses
 * would accumulate during a network partition, and the peer would receive all of them late.
 */
const maxQueuedBytes = 4096;
/**
 * Maximum number of incoming connections per configured controller. Greater than one, because old connections
 * may stay open after a peer has restarted.
 */
const maxConnectionsPerController = 4;
/** Maximum length of a status, as a share of the memory quota. Each incoming link may keep so much. */
const maxStatusRatio = 1 / 400;
/** Maximum memory of a decoded status, as a share of the memory quota. */
const maxStatusMemoryRatio = 1 / 8;
const bytesPerMb = 2 ** 20;
/** Options of the MessagePack library. Statuses are sent as maps, not as records of the library. */
const messagePackOptions = { useRecords: false };

/**
 * Links between controllers. Each status to a peer echoes the sequence number of the latest status received
 * from this peer. From the echoed number, the peer derives the earliest time at which the status may have
 * been created. A status that was delayed by a network partition is therefore not mistaken for a recent
 * status.
 */
export class PeerLinks {
  private lastSequence = 0;
  private readonly sentAtBySequence = new Map<number, number>();
  private readonly lastReceived = new Map<string, LastReceivedStatus>();
  private readonly lastStatuses = new Map<string, LastPeerStatus>();

  private readonly statusIntervalMs: number;
  private readonly statusLimits: DecodeLimits;

  constructor(private readonly ports: PeerLinksPorts) {
    this.statusIntervalMs = Math.max(
      minStatusIntervalMs,
      ports.settings.heartbeatIntervalMs / statusesPerHeartbeat,
    );
    const quotaBytes = ports.settings.quota.memoryMb * bytesPerMb;
    this.statusLimits = {
      maxBytes: quotaBytes * maxStatusRatio,
      maxMemoryBytes: quotaBytes * maxStatusMemoryRatio,
    };
  }

  /**
   * Returns the latest status of a peer for which a lower bound of the creation time is known, or undefined
   * if there is none.
   */
  lastStatus(label: string): LastPeerStatus | undefined {
    return this.lastStatuses.get(label);
  }

  /**
   * Processes a received status. Ignores a status if the sender is not configured as a peer, or if the same
   * or a later status of the same incarnation was received before.
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
   * Stores the status together with the earliest time at which it may have been created. Ignores a status
   * that echoes another incarnation of this controller, or a sequence number whose send time is no longer
   * stored.
   */
  private updateLastStatus(status: PeerStatus): void {
    const { incarnation, storeRevision } = this.ports;
    const { from, storeContactAgeMs, cancelledSince, echoedSequence, echoedIncarnation } = status;
    if (echoedIncarnation !== incarnation) return;
    const notBefore = this.sentAtBySequence.get(echoedSequence);
    if (notBefore === undefined) return;
    // Cancellations listed in an earlier status remain known, even if a new incarnation of the peer does not
    // list them again.
    const isListComplete = cancelledSince <= storeRevision();
    const previouslyKnownUntil = this.lastStatuses.get(from)?.cancellationsKnownUntil ?? -Infinity;
    const cancellationsKnownUntil = isListComplete ? notBefore : previouslyKnownUntil;
    this.lastStatuses.set(from, { createdNotBefore: notBefore, storeContactAgeMs, cancellationsKnownUntil });
  }

  /** Creates the next status for a peer and records the current time as its send time. */
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
    const sender = senderOf(socket);
    // The deadline counts from the latest status, because bytes may arrive for any time without a status.
    const deadline = setTimeout(() => socket.destroy(), this.statusIntervalMs * idleTimeoutStatuses);
    const decoder = new StatusDecoder(this.statusLimits);
    const receiver = new Writable({
      objectMode: true,
      write: (status: PeerStatus, _encoding, done) => {
        deadline.refresh();
        try {
          this.receive(status);
          done();
        } catch (error) {
          this.ports.log.error(
            { event: 'duty-failed', duty: 'peer-status', err: error },
            'applying the status of a peer failed; closing the link, on which the peer connects again',
          );
          done(error as Error);
        }
      },
    });
    try {
      await pipeline(socket, decoder, receiver, { signal });
    } catch (error) {
      if (error instanceof MalformedMessageError)
        this.ports.onRefusal({ source: 'peer', sender, error, bytes: decoder.pendingBytes });
      throw error;
    } finally {
      clearTimeout(deadline);
    }
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

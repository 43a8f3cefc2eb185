import { type Socket, createConnection, createServer } from 'node:net';
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { PackrStream, UnpackrStream } from 'msgpackr';
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { AcknowledgedCancellations } from '../intake/cancellations.js';
import type { LastPeerStatus } from '../leadership/heartbeat-answering.js';
import type { Settings } from '../settings/settings.js';
import { type PeerStatus, parsePeerStatus, peerStatusRecord } from '../wire/peer-status.js';

interface LastReceived {
  incarnation: string;
  sequence: number;
  storeRevision: number;
}

export interface PeerLinksPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  incarnation: string;
  /** The revision that our copy of the store has reached. */
  storeRevision: () => number;
  localStatus: () => Pick<
    PeerStatus,
    'storeContactAgeMs' | 'fencingToken' | 'terminatedMachines' | 'bootedMachines'
  >;
  /** What we can vouch for to a peer whose copy has reached this revision. */
  cancellationsSince: (revision: number) => AcknowledgedCancellations;
  onStatus: (status: PeerStatus) => void;
}

/** Statuses in a report interval: what they date decides on tens of seconds. */
const statusesPerHeartbeat = 4;
const minStatusIntervalMs = 500;
const sentTimesKept = 120;
/** A link that has been silent for so many statuses is dead; its sender dials again. */
const idleTimeoutStatuses = 20;
/** Both ends must agree: a reader with the library's defaults gets a Map, of which no field can be read. */
const messagePackOptions = { useRecords: false };

/**
 * Links between controllers. Each status echoes the last serial number heard from its receiver, which dates it: a
 * status that a cut held back and delivered late proves nothing about now.
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

  lastStatus(label: string): LastPeerStatus | undefined {
    return this.lastStatuses.get(label);
  }

  /** For the order of messages under test; the routines below call it for every status that arrives. */
  receive(status: PeerStatus): void {
    const { ports } = this;
    if (!ports.settings.peers.some((p) => p.label === status.from)) return;
    const last = this.lastReceived.get(status.from);
    if (last?.incarnation === status.incarnation && last.sequence >= status.sequence) return;
    this.lastReceived.set(status.from, {
      incarnation: status.incarnation,
      sequence: status.sequence,
      storeRevision: status.storeRevision,
    });
    ports.onStatus(status);
    const notBefore =
      status.echoedIncarnation === ports.incarnation
        ? this.sentAtBySequence.get(status.echoedSequence)
        : undefined;
    if (notBefore === undefined) return;
    // What an earlier word vouched for stays so, also where a new life of the peer cannot say it again.
    const complete = status.cancelledSince <= ports.storeRevision();
    const vouchedUntil = complete
      ? notBefore
      : (this.lastStatuses.get(status.from)?.cancellationsKnownUntil ?? -Infinity);
    this.lastStatuses.set(status.from, {
      notBefore,
      storeContactAgeMs: status.storeContactAgeMs,
      cancellationsKnownUntil: vouchedUntil,
    });
  }

  compose(to: string): PeerStatus {
    const { settings, incarnation, localStatus, storeRevision, cancellationsSince, clock } = this.ports;
    const heard = this.lastReceived.get(to);
    const serial = ++this.lastSequence;
    this.sentAtBySequence.set(serial, clock());
    this.sentAtBySequence.delete(serial - sentTimesKept);
    return {
      from: settings.label,
      incarnation,
      sequence: serial,
      echoedSequence: heard?.sequence ?? 0,
      echoedIncarnation: heard?.incarnation ?? '',
      storeRevision: storeRevision(),
      ...localStatus(),
      ...cancellationsSince(heard?.storeRevision ?? Infinity),
    };
  }

  async run(signal: AbortSignal): Promise<void> {
    const { settings, log } = this.ports;
    await Promise.all([
      runRoutine('peer-server', signal, log, (s) => this.acceptConnections(s)),
      ...settings.peers.map((peer) =>
        runRoutine(
          `peer-${peer.label}`,
          signal,
          log,
          (s) => this.sendStatuses(peer.label, peer.address, s),
          this.statusIntervalMs,
        ),
      ),
    ]);
  }

  private async acceptConnections(signal: AbortSignal): Promise<void> {
    const { host, port } = splitAddress(this.ports.settings.peerOn);
    const server = createServer((socket) => void this.receiveStatuses(socket, signal));
    server.maxConnections = this.ports.settings.controllers * 4;
    await new Promise<void>((resolve, reject) => {
      server.on('error', reject);
      signal.addEventListener('abort', () => server.close(() => resolve()), { once: true });
      server.listen(port, host);
    });
  }

  private async receiveStatuses(socket: Socket, signal: AbortSignal): Promise<void> {
    socket.setTimeout(this.statusIntervalMs * idleTimeoutStatuses, () => socket.destroy());
    const handle = new Writable({
      objectMode: true,
      write: (message: unknown, _encoding, done) => {
        const status = parsePeerStatus(message);
        if (status !== undefined) this.receive(status);
        done();
      },
    });
    await pipeline(socket, new UnpackrStream(messagePackOptions), handle, { signal }).catch(
      (error: unknown) =>
        this.ports.log.debug({ event: 'peer-link-lost', err: error }, 'incoming peer link ended'),
    );
  }

  private async sendStatuses(label: string, address: string, signal: AbortSignal): Promise<void> {
    const { host, port } = splitAddress(address);
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

  private async *statusStream(label: string, socket: Socket, signal: AbortSignal): AsyncGenerator<unknown> {
    while (!signal.aborted) {
      // Nothing new is queued behind a cut: the peer would get it late and in bulk.
      if (socket.writableLength < 4096) yield peerStatusRecord(this.compose(label));
      await sleep(this.statusIntervalMs, signal);
    }
  }
}

export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

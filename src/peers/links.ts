import { type Socket, createConnection, createServer } from 'node:net';
import { Readable, Writable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { PackrStream, UnpackrStream } from 'msgpackr';
import type { Clock } from '../base/clock.js';
import { sleep } from '../base/clock.js';
import type { Log } from '../base/log.js';
import { runRoutine } from '../base/routine.js';
import type { Vouched } from '../intake/cancellations.js';
import type { PeerWord } from '../leadership/answering.js';
import type { Settings } from '../settings/settings.js';
import { type PeerStatus, parsePeerStatus, peerStatusRecord } from '../wire/peer-status.js';

interface Heard {
  boot: string;
  serial: number;
  knows: number;
}

export interface PeerPorts {
  clock: Clock;
  log: Log;
  settings: Settings;
  boot: string;
  /** The revision that our copy of the store has reached. */
  revision: () => number;
  facts: () => Pick<PeerStatus, 'contactAge' | 'token' | 'gone' | 'up'>;
  /** What we can vouch for to a peer whose copy has reached this revision. */
  vouch: (revision: number) => Vouched;
  onStatus: (status: PeerStatus) => void;
}

/** Statuses in a report interval: what they date decides on tens of seconds. */
const statusesPerReport = 4;
const leastStatusMs = 500;
const remembered = 120;
/** A link that has been silent for so many statuses is dead; its sender dials again. */
const silentStatuses = 20;
/** Both ends must agree: a reader with the library's defaults gets a Map, of which no field can be read. */
const packing = { useRecords: false };

/**
 * Links between controllers. Each status echoes the last serial number heard from its receiver, which dates it: a
 * status that a cut held back and delivered late proves nothing about now.
 */
export class PeerLinks {
  private serial = 0;
  private readonly sentAt = new Map<number, number>();
  private readonly heard = new Map<string, Heard>();
  private readonly words = new Map<string, PeerWord>();

  private readonly everyMs: number;

  constructor(private readonly ports: PeerPorts) {
    this.everyMs = Math.max(leastStatusMs, ports.settings.reportMs / statusesPerReport);
  }

  word(label: string): PeerWord | undefined {
    return this.words.get(label);
  }

  /** For the order of messages under test; the routines below call it for every status that arrives. */
  receive(status: PeerStatus): void {
    const { ports } = this;
    if (!ports.settings.peers.some((p) => p.label === status.from)) return;
    const last = this.heard.get(status.from);
    if (last?.boot === status.boot && last.serial >= status.serial) return;
    this.heard.set(status.from, { boot: status.boot, serial: status.serial, knows: status.knows });
    ports.onStatus(status);
    const notBefore = status.echoBoot === ports.boot ? this.sentAt.get(status.echo) : undefined;
    if (notBefore === undefined) return;
    // What an earlier word vouched for stays so, also where a new life of the peer cannot say it again.
    const complete = status.since <= ports.revision();
    const vouchedUntil = complete ? notBefore : (this.words.get(status.from)?.vouchedUntil ?? -Infinity);
    this.words.set(status.from, { notBefore, contactAge: status.contactAge, vouchedUntil });
  }

  compose(to: string): PeerStatus {
    const { settings, boot, facts, revision, vouch, clock } = this.ports;
    const heard = this.heard.get(to);
    const serial = ++this.serial;
    this.sentAt.set(serial, clock());
    this.sentAt.delete(serial - remembered);
    return {
      from: settings.label,
      boot,
      serial,
      echo: heard?.serial ?? 0,
      echoBoot: heard?.boot ?? '',
      knows: revision(),
      ...facts(),
      ...vouch(heard?.knows ?? Infinity),
    };
  }

  async run(signal: AbortSignal): Promise<void> {
    const { settings, log } = this.ports;
    await Promise.all([
      runRoutine('peer-server', signal, log, (s) => this.serve(s)),
      ...settings.peers.map((peer) =>
        runRoutine(
          `peer-${peer.label}`,
          signal,
          log,
          (s) => this.dial(peer.label, peer.address, s),
          this.everyMs,
        ),
      ),
    ]);
  }

  private async serve(signal: AbortSignal): Promise<void> {
    const { host, port } = splitAddress(this.ports.settings.peerOn);
    const server = createServer((socket) => void this.listenTo(socket, signal));
    server.maxConnections = this.ports.settings.controllers * 4;
    await new Promise<void>((resolve, reject) => {
      server.on('error', reject);
      signal.addEventListener('abort', () => server.close(() => resolve()), { once: true });
      server.listen(port, host);
    });
  }

  private async listenTo(socket: Socket, signal: AbortSignal): Promise<void> {
    socket.setTimeout(this.everyMs * silentStatuses, () => socket.destroy());
    const handle = new Writable({
      objectMode: true,
      write: (message: unknown, _encoding, done) => {
        const status = parsePeerStatus(message);
        if (status !== undefined) this.receive(status);
        done();
      },
    });
    await pipeline(socket, new UnpackrStream(packing), handle, { signal }).catch((error: unknown) =>
      this.ports.log.debug({ event: 'peer-link-lost', err: error }, 'incoming peer link ended'),
    );
  }

  private async dial(label: string, address: string, signal: AbortSignal): Promise<void> {
    const { host, port } = splitAddress(address);
    const socket = createConnection({ host, port });
    socket.setTimeout(this.everyMs * silentStatuses, () => socket.destroy());
    try {
      const statuses = Readable.from(this.statuses(label, socket, signal), {
        objectMode: true,
        highWaterMark: 1,
      });
      await pipeline(statuses, new PackrStream(packing), socket, { signal });
    } catch (error) {
      this.ports.log.debug({ event: 'peer-link-lost', peer: label, err: error }, 'outgoing peer link ended');
    } finally {
      socket.destroy();
    }
  }

  private async *statuses(label: string, socket: Socket, signal: AbortSignal): AsyncGenerator<unknown> {
    while (!signal.aborted) {
      // Nothing new is queued behind a cut: the peer would get it late and in bulk.
      if (socket.writableLength < 4096) yield peerStatusRecord(this.compose(label));
      await sleep(this.everyMs, signal);
    }
  }
}

export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

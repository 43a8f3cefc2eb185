import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Socket, createConnection, createServer } from 'node:net';
import { steadyClock } from '../base/clock.js';
import { silentLog } from '../base/log.js';
import { Samples } from '../testing/samples.js';
import { testSettings } from '../testing/settings.js';
import { type PeerStatus, parsePeerStatus } from '../wire/peer-status.js';
import { PeerLinks } from './peer-links.js';

// Guards against links over which every status arrived and none was understood: the reader made maps of what the writer had
// packed as objects, and all that rests on the word of peers was never in force.
test('what a controller says of itself arrives whole at its peer, over a real connection', async () => {
  const stop = new AbortController();
  const port = 24_900;
  const heard: PeerStatus[] = [];
  const end = (index: number, onStatus: (status: PeerStatus) => void): PeerLinks => {
    const settings = testSettings((file) => {
      const [own, other] = index === 0 ? [0, 1] : [1, 0];
      const others = [{ label: `keel-${other}`, location: 'a', address: `127.0.0.1:${port + other}` }];
      Object.assign(file, { label: `keel-${own}`, back: `127.0.0.1:${port + own}`, others });
    });
    return new PeerLinks({
      clock: steadyClock,
      log: silentLog,
      settings,
      incarnation: `boot-${index}`,
      onStatus,
      storeRevision: () => 41,
      localStatus: () => ({
        storeContactAgeMs: 12,
        fencingToken: 7,
        terminatedMachines: ['vm-000001'],
        bootedMachines: [],
      }),
      cancellationsSince: (revision) => ({ cancelledSince: revision, cancelled: [['req-000001', 40]] }),
    });
  };
  const links = [end(0, () => undefined), end(1, (status) => heard.push(status))];
  for (const link of links) void link.run(stop.signal);
  const deadline = Date.now() + 5000;
  while (links[1]?.lastStatus('keel-0') === undefined && Date.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  stop.abort();
  const last = heard.at(-1);
  assert.deepEqual(
    [
      last?.from,
      last?.incarnation,
      last?.fencingToken,
      last?.storeRevision,
      last?.cancelled,
      last?.terminatedMachines,
    ],
    ['keel-0', 'boot-0', 7, 41, [['req-000001', 40]], ['vm-000001']],
  );
  assert.equal(links[1]?.lastStatus('keel-0')?.storeContactAgeMs, 12);
});

const samples = new Samples('status.json');

const plainStatus: PeerStatus = {
  from: 'keel-0',
  incarnation: 'boot-0',
  sequence: 1,
  echoedSequence: 0,
  echoedIncarnation: '',
  storeRevision: 41,
  storeContactAgeMs: 12.5,
  fencingToken: 0,
  terminatedMachines: [],
  bootedMachines: [],
  cancelledSince: 40,
  cancelled: [],
};

const leaderStatus: PeerStatus = {
  ...plainStatus,
  echoedSequence: 70_000,
  echoedIncarnation: 'boot-1',
  storeRevision: 5_000_000_000,
  fencingToken: 412,
  terminatedMachines: ['vm-000001', 'vm-000002'],
  bootedMachines: ['vm-000003'],
  cancelledSince: 4_999_999_999,
  cancelled: [
    ['req-000001', 40],
    ['req-123456789012345678', 5_000_000_001],
  ],
};

const kept: Record<string, PeerStatus> = { plain: plainStatus, leader: leaderStatus };

/** The controller that says these things of itself, listening on one port and dialling its peer on the next. */
function speaker(status: PeerStatus, port: number, onStatus: (status: PeerStatus) => void): PeerLinks {
  const {
    from,
    incarnation,
    storeRevision,
    storeContactAgeMs,
    fencingToken,
    terminatedMachines,
    bootedMachines,
    cancelledSince,
    cancelled,
  } = status;
  const settings = testSettings((file) => {
    const label = from === 'keel-0' ? 'keel-1' : 'keel-0';
    const others = [{ label, location: 'a', address: `127.0.0.1:${port + 1}` }];
    Object.assign(file, { label: from, back: `127.0.0.1:${port}`, others });
  });
  return new PeerLinks({
    clock: steadyClock,
    log: silentLog,
    settings,
    incarnation,
    onStatus,
    storeRevision: () => storeRevision,
    localStatus: () => ({ storeContactAgeMs, fencingToken, terminatedMachines, bootedMachines }),
    cancellationsSince: () => ({ cancelledSince: cancelledSince, cancelled }),
  });
}

/** The first bytes that come in on a port. */
function firstBytes(port: number, count: number, signal: AbortSignal): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    let received = Buffer.alloc(0);
    const server = createServer((socket: Socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        received = Buffer.concat([received, chunk]);
        if (received.length >= count) resolve(received.subarray(0, count));
      });
    });
    server.on('error', reject);
    signal.addEventListener('abort', () => server.close(), { once: true });
    server.listen(port, '127.0.0.1');
  });
}

/** Sends bytes to a port as soon as somebody listens there. */
async function sendBytes(port: number, bytes: Buffer): Promise<Socket> {
  for (;;) {
    const socket = createConnection({ host: '127.0.0.1', port });
    const isConnected = await new Promise<boolean>((resolve) => {
      socket.on('connect', () => resolve(true));
      socket.on('error', () => resolve(false));
    });
    if (isConnected) {
      socket.write(bytes);
      return socket;
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

// Guards against controllers of two versions that no longer understand each other.
for (const [index, [name, status]] of Object.entries(kept).entries()) {
  test(`a status goes out in the same fields and bytes as ever: ${name}`, async () => {
    const port = 24_910 + index * 10;
    const stop = new AbortController();
    const links = speaker(status, port, () => undefined);
    const { echoedSequence, echoedIncarnation } = status;
    if (echoedSequence > 0)
      links.receive({
        ...plainStatus,
        from: 'keel-1',
        incarnation: echoedIncarnation,
        sequence: echoedSequence,
      });
    const expected = samples.bytes(name);
    samples.assertRead(name, parsePeerStatus, status);
    const sent = firstBytes(port + 1, expected.length, stop.signal);
    void links.run(stop.signal);
    assert.equal((await sent).toString('hex'), expected.toString('hex'));
    stop.abort();
  });

  test(`a status of an earlier version is read in all its fields: ${name}`, async () => {
    const port = 24_912 + index * 10;
    const stop = new AbortController();
    const heard = new Promise<PeerStatus>((resolve) => {
      const links = speaker({ ...plainStatus, from: 'keel-1' }, port, resolve);
      void links.run(stop.signal);
    });
    const socket = await sendBytes(port, samples.bytes(name));
    assert.deepEqual(await heard, status);
    socket.destroy();
    stop.abort();
  });
}

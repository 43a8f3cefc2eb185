import assert from 'node:assert/strict';
import { createConnection, createServer, type Socket } from 'node:net';
import { test } from 'node:test';

import { steadyClock } from '../base/clock.js';
import { silentLog } from '../base/log.js';
import { Samples } from '../testing/samples.js';
import { testSettings } from '../testing/settings.js';
import { parsePeerStatus, type PeerStatus } from '../wire/peer-status.js';
import { PeerLinks } from './peer-links.js';

// Guards against links over which every status arrived and none was understood: the reader made maps of what the writer had
// packed as objects, and nothing that rests on the status of peers was ever in force.
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

/** A status that is not understood is waited for in vain. */
const linkTimeoutMs = 10_000;

// Guards against controllers of two versions that no longer understand each other.
for (const [index, [name, status]] of Object.entries(kept).entries()) {
  test(
    `a status goes out in the same fields and bytes as ever: ${name}`,
    { timeout: linkTimeoutMs },
    async () => {
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
    },
  );

  test(
    `a status of an earlier version is read in all its fields: ${name}`,
    { timeout: linkTimeoutMs },
    async () => {
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
    },
  );
}

/** Links without sockets; `at` sets the clock, `reaches` the revision of our replica of the store. */
function pinnedLinks(): { at: (now: number) => PeerLinks; reaches: (revision: number) => void } {
  let now = 0;
  let storeRevision = 40;
  const own = new PeerLinks({
    clock: () => now,
    log: silentLog,
    settings: testSettings(),
    incarnation: 'mine',
    onStatus: () => undefined,
    storeRevision: () => storeRevision,
    localStatus: () => ({
      storeContactAgeMs: 0,
      fencingToken: 0,
      terminatedMachines: [],
      bootedMachines: [],
    }),
    cancellationsSince: (revision) => ({ cancelledSince: revision, cancelled: [] }),
  });
  const at = (time: number): PeerLinks => {
    now = time;
    return own;
  };
  return { at, reaches: (revision) => void (storeRevision = revision) };
}

const statusWithoutSequence: Omit<PeerStatus, 'sequence' | 'echoedSequence'> = {
  from: 'keel-1',
  incarnation: 'theirs',
  fencingToken: 0,
  storeRevision: 40,
  cancelledSince: 40,
  cancelled: [],
  terminatedMachines: [],
  bootedMachines: [],
  storeContactAgeMs: 40,
  echoedIncarnation: 'mine',
};

test('a status is dated by the echo of our own message, so one that was delayed proves nothing new', () => {
  const { at } = pinnedLinks();
  const first = at(1000).compose('keel-1');
  at(9000).receive({ ...statusWithoutSequence, sequence: 1, echoedSequence: first.sequence });
  assert.deepEqual(at(9000).lastStatus('keel-1'), {
    notBefore: 1000,
    storeContactAgeMs: 40,
    cancellationsKnownUntil: 1000,
  });
  const second = at(9000).compose('keel-1');
  assert.deepEqual([second.echoedSequence, second.echoedIncarnation], [1, 'theirs']);
  at(9000).receive({
    ...statusWithoutSequence,
    sequence: 3,
    echoedSequence: second.sequence,
    storeContactAgeMs: 50,
  });
  at(9000).receive({
    ...statusWithoutSequence,
    sequence: 2,
    echoedSequence: first.sequence,
    storeContactAgeMs: 60,
  });
  assert.deepEqual(at(9000).lastStatus('keel-1'), {
    notBefore: 9000,
    storeContactAgeMs: 50,
    cancellationsKnownUntil: 9000,
  });
  at(9000).receive({
    ...statusWithoutSequence,
    from: 'stranger',
    sequence: 9,
    echoedSequence: second.sequence,
  });
  assert.equal(at(9000).lastStatus('stranger'), undefined);
});

// Guards against a list of cancellations that does not reach back to what we know: of a new incarnation of the peer, or after
// the list was cut.
test('cancellations count as known only where the list of the peer reaches back to our own replica', () => {
  const { at, reaches } = pinnedLinks();
  const echo = at(1000).compose('keel-1').sequence;
  at(1500).receive({ ...statusWithoutSequence, sequence: 1, echoedSequence: echo });
  const later = at(2000).compose('keel-1').sequence;
  at(2500).receive({
    ...statusWithoutSequence,
    incarnation: 'next',
    sequence: 1,
    echoedSequence: later,
    cancelledSince: 41,
  });
  assert.deepEqual(at(2500).lastStatus('keel-1'), {
    notBefore: 2000,
    storeContactAgeMs: 40,
    cancellationsKnownUntil: 1000,
  });
  // Once our replica has reached what its new incarnation read first, nothing is missing.
  reaches(41);
  const last = at(3000).compose('keel-1').sequence;
  at(3500).receive({
    ...statusWithoutSequence,
    incarnation: 'next',
    sequence: 2,
    echoedSequence: last,
    cancelledSince: 41,
  });
  assert.equal(at(3500).lastStatus('keel-1')?.cancellationsKnownUntil, 3000);
});

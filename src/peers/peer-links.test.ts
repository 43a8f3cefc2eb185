import assert from 'node:assert/strict';
import { createConnection, createServer, type Socket } from 'node:net';
import { test } from 'node:test';

import { monotonicClock } from '../base/clock.js';
import { silentLog } from '../base/log.js';
import { Samples } from '../testing/samples.js';
import { testSettings } from '../testing/settings.js';
import { parsePeerStatus, type PeerStatus } from '../wire/peer-status.js';
import { PeerLinks } from './peer-links.js';

// If the receiver's MessagePack options differ from the sender's, statuses that were packed as objects are
// decoded as Maps. The links then deliver every status, but none of its fields can be read, so no rule that
// depends on the statuses of peers takes effect.
test('a peer receives all fields of a status over a real connection', async () => {
  const stop = new AbortController();
  const port = 24_900;
  const receivedStatuses: PeerStatus[] = [];
  const createLinks = (index: number, onStatus: (status: PeerStatus) => void): PeerLinks => {
    const settings = testSettings((file) => {
      const [ownIndex, otherIndex] = index === 0 ? [0, 1] : [1, 0];
      const others = [
        { label: `keel-${otherIndex}`, location: 'a', address: `127.0.0.1:${port + otherIndex}` },
      ];
      Object.assign(file, { label: `keel-${ownIndex}`, back: `127.0.0.1:${port + ownIndex}`, others });
    });
    return new PeerLinks({
      clock: monotonicClock,
      log: silentLog,
      onRefusal: () => undefined,
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
  const links = [createLinks(0, () => undefined), createLinks(1, (status) => receivedStatuses.push(status))];
  for (const link of links) void link.run(stop.signal);
  const deadline = Date.now() + 5000;
  while (links[1]?.lastStatus('keel-0') === undefined && Date.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  stop.abort();
  const last = receivedStatuses.at(-1);
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

const sampleStatuses: Record<string, PeerStatus> = { plain: plainStatus, leader: leaderStatus };

/**
 * Creates the links of a controller that sends this status. The controller listens on `port` and connects to
 * its peer on the next port.
 */
function createSender(status: PeerStatus, port: number, onStatus: (status: PeerStatus) => void): PeerLinks {
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
    clock: monotonicClock,
    log: silentLog,
    onRefusal: () => undefined,
    settings,
    incarnation,
    onStatus,
    storeRevision: () => storeRevision,
    localStatus: () => ({ storeContactAgeMs, fencingToken, terminatedMachines, bootedMachines }),
    cancellationsSince: () => ({ cancelledSince: cancelledSince, cancelled }),
  });
}

/** Listens on a port and resolves with the first `count` bytes received there. */
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

/** Sends bytes to a port as soon as a server listens on the port. */
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

/** Time-out of tests in ms. Without a time-out, a test would wait forever if a status were not decoded. */
const linkTimeoutMs = 10_000;

// During an upgrade, controllers of two versions exchange statuses. Guards against a change of the encoding
// that one of the versions cannot decode.
for (const [index, [name, status]] of Object.entries(sampleStatuses).entries()) {
  test(
    `a status is encoded to the same bytes as in earlier versions: ${name}`,
    { timeout: linkTimeoutMs },
    async () => {
      const port = 24_910 + index * 10;
      const stop = new AbortController();
      const links = createSender(status, port, () => undefined);
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
    `all fields of a status sent by an earlier version are decoded: ${name}`,
    { timeout: linkTimeoutMs },
    async () => {
      const port = 24_912 + index * 10;
      const stop = new AbortController();
      const receivedStatus = new Promise<PeerStatus>((resolve) => {
        const links = createSender({ ...plainStatus, from: 'keel-1' }, port, resolve);
        void links.run(stop.signal);
      });
      const socket = await sendBytes(port, samples.bytes(name));
      assert.deepEqual(await receivedStatus, status);
      socket.destroy();
      stop.abort();
    },
  );
}

/**
 * Creates links without sockets. `linksAt` sets the clock and returns the links. `setStoreRevision` sets the
 * revision of this controller's replica of the store.
 */
function createLinksWithSetClock(): {
  linksAt: (now: number) => PeerLinks;
  setStoreRevision: (revision: number) => void;
} {
  let now = 0;
  let storeRevision = 40;
  const links = new PeerLinks({
    clock: () => now,
    log: silentLog,
    settings: testSettings(),
    incarnation: 'mine',
    onStatus: () => undefined,
    onRefusal: () => undefined,
    storeRevision: () => storeRevision,
    localStatus: () => ({
      storeContactAgeMs: 0,
      fencingToken: 0,
      terminatedMachines: [],
      bootedMachines: [],
    }),
    cancellationsSince: (revision) => ({ cancelledSince: revision, cancelled: [] }),
  });
  const linksAt = (time: number): PeerLinks => {
    now = time;
    return links;
  };
  return { linksAt, setStoreRevision: (revision) => void (storeRevision = revision) };
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

test('the echoed sequence number gives a lower bound of the creation time of a status, and statuses received out of order are ignored', () => {
  const { linksAt } = createLinksWithSetClock();
  const first = linksAt(1000).composeStatus('keel-1');
  linksAt(9000).receive({ ...statusWithoutSequence, sequence: 1, echoedSequence: first.sequence });
  assert.deepEqual(linksAt(9000).lastStatus('keel-1'), {
    createdNotBefore: 1000,
    storeContactAgeMs: 40,
    cancellationsKnownUntil: 1000,
  });
  const second = linksAt(9000).composeStatus('keel-1');
  assert.deepEqual([second.echoedSequence, second.echoedIncarnation], [1, 'theirs']);
  linksAt(9000).receive({
    ...statusWithoutSequence,
    sequence: 3,
    echoedSequence: second.sequence,
    storeContactAgeMs: 50,
  });
  linksAt(9000).receive({
    ...statusWithoutSequence,
    sequence: 2,
    echoedSequence: first.sequence,
    storeContactAgeMs: 60,
  });
  assert.deepEqual(linksAt(9000).lastStatus('keel-1'), {
    createdNotBefore: 9000,
    storeContactAgeMs: 50,
    cancellationsKnownUntil: 9000,
  });
  linksAt(9000).receive({
    ...statusWithoutSequence,
    from: 'stranger',
    sequence: 9,
    echoedSequence: second.sequence,
  });
  assert.equal(linksAt(9000).lastStatus('stranger'), undefined);
});

// A peer restarts or shortens its list of cancellations. The list in its next status then begins after the
// revision of this controller's replica, so cancellations between the two are missing. Guards against
// counting the missing cancellations as known.
test('cancellations count as known only if the list of the peer begins no later than the revision of the replica', () => {
  const { linksAt, setStoreRevision } = createLinksWithSetClock();
  const firstSequence = linksAt(1000).composeStatus('keel-1').sequence;
  linksAt(1500).receive({ ...statusWithoutSequence, sequence: 1, echoedSequence: firstSequence });
  const secondSequence = linksAt(2000).composeStatus('keel-1').sequence;
  linksAt(2500).receive({
    ...statusWithoutSequence,
    incarnation: 'next',
    sequence: 1,
    echoedSequence: secondSequence,
    cancelledSince: 41,
  });
  assert.deepEqual(linksAt(2500).lastStatus('keel-1'), {
    createdNotBefore: 2000,
    storeContactAgeMs: 40,
    cancellationsKnownUntil: 1000,
  });
  // After the replica has reached the revision at which the list of the new incarnation begins, no
  // cancellation is missing.
  setStoreRevision(41);
  const thirdSequence = linksAt(3000).composeStatus('keel-1').sequence;
  linksAt(3500).receive({
    ...statusWithoutSequence,
    incarnation: 'next',
    sequence: 2,
    echoedSequence: thirdSequence,
    cancelledSince: 41,
  });
  assert.equal(linksAt(3500).lastStatus('keel-1')?.cancellationsKnownUntil, 3000);
});

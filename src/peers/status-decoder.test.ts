import assert from 'node:assert/strict';
import { test } from 'node:test';

import { claimedCounts, repeat } from '../testing/malformed-messages.js';
import { encode } from '../wire/codec.js';
import { MalformedMessageError, type MalformedReason } from '../wire/message-errors.js';
import { type PeerStatus, peerStatusRecord } from '../wire/peer-status.js';
import { StatusDecoder } from './status-decoder.js';

const limits = { maxBytes: 2000, maxMemoryBytes: 200_000 };

const status: PeerStatus = {
  from: 'keel-1',
  incarnation: 'boot-1',
  sequence: 7,
  echoedSequence: 0,
  echoedIncarnation: '',
  storeRevision: 41,
  storeContactAgeMs: 12.5,
  fencingToken: 0,
  terminatedMachines: ['vm-000001'],
  bootedMachines: [],
  cancelledSince: 40,
  cancelled: [['req-000001', 40]],
};

/** Sends the chunks to a decoder. Returns the decoded statuses, and the reason if a message is refused. */
async function decodeChunks(
  chunks: Buffer[],
): Promise<{ statuses: PeerStatus[]; refusal: MalformedReason | undefined }> {
  const decoder = new StatusDecoder(limits);
  const statuses: PeerStatus[] = [];
  decoder.on('data', (received: PeerStatus) => statuses.push(received));
  const ended = new Promise<MalformedReason | undefined>((resolve, reject) => {
    decoder.on('end', () => resolve(undefined));
    decoder.on('error', (error) =>
      error instanceof MalformedMessageError ? resolve(error.reason) : reject(error),
    );
  });
  for (const chunk of chunks) decoder.write(chunk);
  decoder.end();
  return { statuses, refusal: await ended };
}

const message = encode(peerStatusRecord(status));

test('statuses are decoded from chunks of any size', async () => {
  const stream = repeat(message, 5);
  for (const size of [1, 7, message.length, message.length + 1, stream.length]) {
    const chunks = Array.from({ length: Math.ceil(stream.length / size) }, (_, i) =>
      stream.subarray(i * size, (i + 1) * size),
    );
    const { statuses, refusal } = await decodeChunks(chunks);
    assert.deepEqual(statuses, Array(5).fill(status));
    assert.equal(refusal, undefined);
  }
});

test('a malformed message ends the decoder after the statuses before it', async () => {
  const { statuses, refusal } = await decodeChunks([Buffer.concat([message, claimedCounts])]);
  assert.deepEqual([statuses.length, refusal], [1, 'too-large']);
});

test('a message that exceeds the maximum length is refused before it ends', async () => {
  const endless = [
    Buffer.from('dc0280', 'hex'),
    ...Array.from({ length: 30 }, () => Buffer.alloc(100, 0x91)),
  ];
  assert.equal((await decodeChunks(endless)).refusal, 'too-deep');
  const wide = [Buffer.from('dc0280', 'hex'), ...Array.from({ length: 30 }, () => encode('x'.repeat(90)))];
  assert.equal((await decodeChunks(wide)).refusal, 'too-large');
});

test('messages that are no statuses are ignored, also if an item of a list has another form', async () => {
  const record = peerStatusRecord(status);
  const others = [
    null,
    7,
    {},
    { ...record, cancelled: [7] },
    { ...record, up: [1] },
    { ...record, gone: null },
  ];
  const { statuses, refusal } = await decodeChunks([...others.map((other) => encode(other)), message]);
  assert.deepEqual([statuses, refusal], [[status], undefined]);
});

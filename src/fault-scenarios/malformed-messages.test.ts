/**
 * Sends malformed messages to controller processes on every path on which they decode messages. The processes
 * run with the command and the memory limits of `deploy/service.toml`.
 */
import assert from 'node:assert/strict';
import { type Socket, createConnection } from 'node:net';
import { after, before, beforeEach, describe, test } from 'node:test';
import {
  claimedCounts,
  malformedBodies,
  nestedClaims,
  sparseNumericKeys,
  submissionWithInvalidText,
} from '../testing/malformed-messages.js';
import { post, postInBytes } from '../testing/raw-request.js';
import { ServiceProcesses, smallDeployment, smallDeploymentMemoryMb } from '../testing/service-processes.js';
import { submission } from '../testing/submission.js';
import { labels } from '../testing/three-controllers.js';
import { encode } from '../wire/codec.js';

const waitMs = 30_000;
const pollMs = 50;
const nodes = [...labels.keys()];

/** Bodies that end a controller that reserves memory for what they claim, or before it has checked them. */
const expensiveMessages = [claimedCounts, nestedClaims(0xffff, 12_000), sparseNumericKeys(8000)];

async function waitFor(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  for (const deadline = Date.now() + waitMs; !(await condition());) {
    assert.ok(Date.now() < deadline, `waited in vain until ${what}`);
    await new Promise((resolve) => setTimeout(resolve, pollMs));
  }
}

describe('controller processes and malformed messages', () => {
  let logged = '';
  /** Number of ended processes before the present test. A test must not fail because of an earlier one. */
  let exitsBefore = 0;
  const service = new ServiceProcesses(
    smallDeployment(27_860, (_label, text) => {
      logged += text;
    }),
  );

  const statusOf = async (node: number, body: Buffer, path = '/v2/runs'): Promise<number> =>
    (await post(service.servingAddress(node), path, [body])).status;

  /** Submits a job and waits until it has been accepted. */
  const submit = async (node: number, id: string): Promise<void> => {
    await waitFor(`${id} is accepted`, async () => {
      const status = await statusOf(node, encode(submission(id, 2))).catch(() => 0);
      return status === 200 || status === 201;
    });
  };

  const assertAllServe = (): void => {
    assert.deepEqual(service.unexpectedExits.slice(exitsBefore), []);
    for (const node of nodes) {
      const peakMb = service.usage(node)?.peakMemoryMb ?? Infinity;
      assert.ok(peakMb < smallDeploymentMemoryMb, `${labels[node]} used ${peakMb} MB`);
    }
  };

  const isRefusalLogged = (field: string, since: number): boolean =>
    logged
      .slice(since)
      .split('\n')
      .some((line) => line.includes('"message-refused"') && line.includes(field));

  before(async () => {
    await service.start();
    for (const node of nodes) await submit(node, `req-00000${node}`);
  });
  after(() => service.stop());
  beforeEach(async () => {
    exitsBefore = service.unexpectedExits.length;
    const ended = nodes.filter((node) => !service.isRunning(node));
    for (const node of ended) service.startController(node);
    for (const node of ended) await submit(node, `req-00000${node}`);
  });

  for (const [path, node] of [
    ['/v2/runs', 0],
    ['/hello', 1],
  ] as const) {
    test(`every malformed body to ${path}, in one chunk or two, is answered with 400 and a reason and ends no controller`, async () => {
      for (const [name, body] of Object.entries(malformedBodies)) {
        for (const chunks of [[body], [body.subarray(0, 4), body.subarray(4)]]) {
          const response = await post(service.servingAddress(node), path, chunks);
          assert.equal(response.status, 400, name);
          assert.match(JSON.stringify(response.body), /malformed body: [a-z-]+ at byte \d+/);
        }
      }
      assertAllServe();
    });
  }

  test('a body over 64 KiB is answered with 413 and logged', async () => {
    for (const [path, source] of [
      ['/v2/runs', 'user'],
      ['/hello', 'worker'],
    ] as const) {
      const since = logged.length;
      const body = Buffer.alloc(70_000, 0x91);
      assert.equal((await post(service.servingAddress(2), path, [body])).status, 413);
      await waitFor('the refusal is logged', () => isRefusalLogged(`"source":"${source}"`, since));
    }
    assertAllServe();
  });

  test('many messages at once that each claim millions of entries keep the memory within the quota', async () => {
    const statuses = await Promise.all(
      Array.from({ length: 40 }, () => statusOf(2, claimedCounts.subarray(0, 5))),
    );
    assert.deepEqual(new Set(statuses), new Set([400]));
    assertAllServe();
  });

  for (const path of ['/v2/runs', '/hello']) {
    test(`bodies to ${path} in chunks of one byte keep the memory within the quota`, async () => {
      const body = Buffer.alloc(60_000, 0x91);
      const unfinished = await Promise.all(
        Array.from({ length: 20 }, () => postInBytes(service.servingAddress(2), path, body)),
      );
      const statuses = await Promise.all(unfinished.map((request) => request.finish()));
      assert.deepEqual(new Set(statuses), new Set([400]));
      assertAllServe();
    });
  }

  test('a job that is accepted stays known when its submission is repeated with invalid text', async () => {
    const id = 'req-000601';
    await submit(0, id);
    const repeated = submissionWithInvalidText(id);
    for (const node of nodes) assert.equal(await statusOf(node, repeated), 200);
    assert.equal(await statusOf(0, submissionWithInvalidText('req-000602')), 400);
  });

  /** Opens a connection to the address at which a controller listens for its peers. */
  const connectAsPeer = (node: number): { socket: Socket; isClosed: () => boolean } => {
    const [host = '', port = ''] = service.peerAddress(node).split(':');
    const socket = createConnection({ host, port: Number(port) });
    let isClosed = false;
    socket.on('error', () => undefined).on('close', () => (isClosed = true));
    return { socket, isClosed: () => isClosed };
  };

  test('a peer link with a malformed message is closed and logged, and ends no controller', async () => {
    for (const message of expensiveMessages) {
      const since = logged.length;
      const link = connectAsPeer(0);
      link.socket.write(message);
      await waitFor('the link is closed', link.isClosed);
      await waitFor('the refusal is logged', () => isRefusalLogged('"source":"peer"', since));
    }
    assertAllServe();
  });

  test('a peer link with a message that never ends is closed before the message fills the memory', async () => {
    for (const head of ['dd00200000', 'db00200000']) {
      const link = connectAsPeer(0);
      link.socket.write(Buffer.from(head, 'hex'));
      const block = Buffer.alloc(16 * 1024, 0x80);
      await waitFor('the link is closed', () => {
        if (link.socket.writable) link.socket.write(block);
        return link.isClosed();
      });
    }
    assertAllServe();
  });

  test('a peer link that sends bytes but no status is closed', async () => {
    const link = connectAsPeer(0);
    await waitFor('the link is closed', () => {
      if (link.socket.writable) link.socket.write(encode(null));
      return link.isClosed();
    });
    assertAllServe();
  });

  const storePaths = ['/changes', '/commit', '/keys', '/grants'];
  for (const path of storePaths) {
    test(`a malformed answer of the state service to ${path} counts as no answer and ends no controller`, async () => {
      const since = logged.length;
      for (const message of expensiveMessages) service.store.replacedAnswers.replace(path, message, 1);
      // Only a controller that loads its state is certain to read keys.
      if (path === '/keys') service.restartController(1);
      await waitFor('the malformed answers are sent', async () => {
        await statusOf(0, encode(submission(`req-${Date.now()}`, 1))).catch(() => 0);
        return service.store.replacedAnswers.remaining === 0;
      });
      await waitFor('the refusal is logged', () => isRefusalLogged(`"path":"${path}`, since));
      assertAllServe();
      for (const node of nodes) await submit(node, `req-10${storePaths.indexOf(path)}00${node}`);
    });
  }

  test('a malformed answer of the cloud counts as no answer and ends no controller', async () => {
    const since = logged.length;
    for (const message of expensiveMessages) service.cloud.replacedAnswers.replace('/', message, 1);
    await waitFor('the malformed answers are sent', () => service.cloud.replacedAnswers.remaining === 0);
    await waitFor('the refusal is logged', () => isRefusalLogged('"source":"cloud"', since));
    assertAllServe();
  });

  test('jobs complete afterwards', async () => {
    for (const node of nodes) {
      const id = `req-20000${node}`;
      await submit(node, id);
      await waitFor(`${id} is done`, () =>
        service.history.events.some(
          (event) => event.kind === 'left' && event.task === `${id}/1` && event.completed,
        ),
      );
    }
    assertAllServe();
  });
});

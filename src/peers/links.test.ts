import assert from 'node:assert/strict';
import { test } from 'node:test';
import { steadyClock } from '../base/clock.js';
import { silentLog } from '../base/log.js';
import { testSettings } from '../testing/settings.js';
import { PeerLinks, type PeerStatus } from './links.js';

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
      boot: `boot-${index}`,
      onStatus,
      revision: () => 41,
      facts: () => ({ contactAge: 12, token: 7, gone: ['vm-000001'], up: [] }),
      vouch: (revision) => ({ since: revision, cancelled: [['req-000001', 40]] }),
    });
  };
  const links = [end(0, () => undefined), end(1, (status) => heard.push(status))];
  for (const link of links) void link.run(stop.signal);
  const deadline = Date.now() + 5000;
  while (links[1]?.word('keel-0') === undefined && Date.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  stop.abort();
  const last = heard.at(-1);
  assert.deepEqual(
    [last?.from, last?.boot, last?.token, last?.knows, last?.cancelled, last?.gone],
    ['keel-0', 'boot-0', 7, 41, [['req-000001', 40]], ['vm-000001']],
  );
  assert.equal(links[1]?.word('keel-0')?.contactAge, 12);
});

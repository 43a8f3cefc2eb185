/** Creates replicas of an in-memory state service. */
import { Mirror } from '../store/mirror.js';
import { type HeldStore, settled } from './held-store.js';

/** Creates a replica with the current content of the store. The replica receives no later changes. */
export async function mirrorOf(store: HeldStore): Promise<Mirror> {
  const mirror = new Mirror(
    {
      list: (prefix) => store.listPage(prefix, '', Infinity),
      watch: () => new Promise(() => undefined),
    },
    0,
  );
  void mirror.follow(new AbortController().signal);
  while (!mirror.ready) await settled();
  return mirror;
}

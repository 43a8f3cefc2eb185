/** Creates replicas of the in-memory test double of the state service. */
import { StoreReplica } from '../store/store-replica.js';
import { type InMemoryStore, runPendingCallbacks } from './in-memory-store.js';

/** Creates a replica with the current content of the store. The replica receives no later changes. */
export async function loadReplica(store: InMemoryStore): Promise<StoreReplica> {
  const replica = new StoreReplica(
    {
      list: (prefix) => store.listPage(prefix, '', Infinity),
      watch: () => new Promise(() => undefined),
    },
    0,
  );
  void replica.follow(new AbortController().signal);
  while (!replica.ready) await runPendingCallbacks();
  return replica;
}

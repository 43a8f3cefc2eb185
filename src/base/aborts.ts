import { setMaxListeners } from 'node:events';

type Callback = () => void;

const waiting = new WeakMap<AbortSignal, Set<Callback>>();

/**
 * Calls back once the signal fires, until the returned function is called. One listener on the signal serves all: every
 * pause and every call in flight waits for one, and adding a listener costs more than the rest of a pause.
 */
export function onAbort(signal: AbortSignal, callback: Callback): () => void {
  let callbacks = waiting.get(signal);
  if (!callbacks) {
    const all = new Set<Callback>();
    waiting.set(signal, (callbacks = all));
    setMaxListeners(0, signal);
    signal.addEventListener(
      'abort',
      () => {
        for (const call of [...all]) call();
        all.clear();
      },
      { once: true },
    );
  }
  const entry = callbacks;
  entry.add(callback);
  return () => void entry.delete(callback);
}

/** Callbacks on abort signals, cheap enough for each pause and each request in flight. */
import { setMaxListeners } from 'node:events';

type Callback = () => void;

const callbacksBySignal = new WeakMap<AbortSignal, Set<Callback>>();

/**
 * Calls `callback` once when the signal fires, unless the returned function was called before. A signal that
 * has fired before calls nothing. All callbacks of a signal share one listener, because adding
 * a listener costs more than the rest of a pause.
 */
export function onAbort(signal: AbortSignal, callback: Callback): () => void {
  const callbacks = callbacksBySignal.get(signal) ?? listenTo(signal);
  callbacks.add(callback);
  return () => void callbacks.delete(callback);
}

function listenTo(signal: AbortSignal): Set<Callback> {
  const callbacks = new Set<Callback>();
  callbacksBySignal.set(signal, callbacks);
  setMaxListeners(0, signal);
  const callAll = (): void => {
    for (const callback of [...callbacks]) callback();
    callbacks.clear();
  };
  signal.addEventListener('abort', callAll, { once: true });
  return callbacks;
}

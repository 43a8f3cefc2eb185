/** Registers callbacks for abort signals, cheaply enough to do so for every sleep and every HTTP exchange. */
import { setMaxListeners } from 'node:events';

type Callback = () => void;

const callbacksBySignal = new WeakMap<AbortSignal, Set<Callback>>();

/**
 * Calls `callback` once when the signal fires. The returned function removes the callback. If the signal has
 * already fired, the callback is never called. All callbacks of a signal share one event listener, because
 * adding a listener costs more than all other work of a sleep.
 */
export function onAbort(signal: AbortSignal, callback: Callback): () => void {
  const callbacks = callbacksBySignal.get(signal) ?? addSharedListener(signal);
  callbacks.add(callback);
  return () => void callbacks.delete(callback);
}

function addSharedListener(signal: AbortSignal): Set<Callback> {
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

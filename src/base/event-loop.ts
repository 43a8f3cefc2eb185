/** Waiting for the next iteration of the event loop. */

/**
 * Resolves in a later iteration of the event loop, after it has polled its sockets. Events that arrived in
 * the meantime are handled first.
 */
export function nextEventLoopIteration(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

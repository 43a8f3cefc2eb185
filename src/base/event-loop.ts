/** Waits for the next iteration of the event loop. */

/**
 * Resolves in a later iteration of the event loop, after the event loop has polled the sockets. Events that
 * have arrived by then are handled first.
 */
export function nextEventLoopIteration(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

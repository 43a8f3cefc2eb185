/** Turns of the event loop. */

/** Resolves in a later turn, after the event loop has polled its sockets: events that came meanwhile are handled first. */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

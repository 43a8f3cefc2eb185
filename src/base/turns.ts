/** Turns of the event loop. */

/** Settles in a later turn, after the event loop has looked at its sockets: what came meanwhile is served first. */
export function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

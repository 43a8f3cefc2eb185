/** Waits for the effects of background duties under test. */

const pollIntervalMs = 5;
const timeoutMs = 5000;

/**
 * Polls the condition every 5 ms until it holds.
 *
 * @throws Error if the condition does not hold within 5 s
 */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error('condition did not hold within the time limit');
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
}

/** Waiting for what duties under test bring about. */

const tickMs = 5;
const mostMs = 5000;

/** Settles once the condition holds; fails when that takes far too long. */
export async function tick(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + mostMs;
  while (!condition()) {
    if (Date.now() > deadline) throw new Error('the condition never came to hold');
    await new Promise((resolve) => setTimeout(resolve, tickMs));
  }
}

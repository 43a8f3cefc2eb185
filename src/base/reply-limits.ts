/** Limits of the replies that a controller reads from the state service and the cloud. */
import { getHeapStatistics } from 'node:v8';

import type { DecodeLimits } from '../wire/message-scanner.js';

/** Maximum length of a reply, as a share of the heap. */
const maxBytesRatio = 1 / 16;
/** Maximum memory of a decoded reply, as a share of the heap. The rest holds the state of the controller. */
const maxMemoryRatio = 1 / 3;

/** Returns the limits for the heap of this process. */
export function replyLimits(heapBytes = getHeapStatistics().heap_size_limit): DecodeLimits {
  return { maxBytes: heapBytes * maxBytesRatio, maxMemoryBytes: heapBytes * maxMemoryRatio };
}

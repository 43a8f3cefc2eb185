/** Logs the received messages that are refused as malformed, at a limited rate. */
import type { MalformedMessageError } from '../wire/message-errors.js';
import type { Clock } from './clock.js';
import type { Log } from './log.js';
import { TokenBucket } from './token-bucket.js';

/** The kinds of senders. */
export type RefusalSource = 'user' | 'worker' | 'peer' | 'store' | 'cloud';

/** A received message that is not processed. */
export interface Refusal {
  source: RefusalSource;
  /** The path of the request. Undefined for a message of a peer. */
  path?: string;
  /** Address of the sender, if it is known. */
  sender: string | undefined;
  error: MalformedMessageError;
  /** The message, as far as it was received. */
  bytes: Uint8Array;
}

/** Receives each refused message. */
export type OnRefusal = (refusal: Refusal) => void;

const maxLinesPerS = 1;
const maxLinesAtOnce = 10;
const loggedBytes = 16;
/** The state service allows keys of this length; the paths of users may be longer. */
const loggedPathChars = 200;

/** The lines about the messages of one source. */
interface SourceLines {
  readonly rate: TokenBucket;
  /** Number of refused messages without a line since the previous line. */
  unlogged: number;
}

/** Logs refused messages, and counts those for which no line was written. */
export class RefusalLog {
  private readonly linesBySource = new Map<RefusalSource, SourceLines>();

  constructor(
    private readonly log: Log,
    private readonly clock: Clock,
  ) {}

  /** Logs a refused message, unless many messages of the same source were logged recently. */
  readonly record: OnRefusal = (refusal) => {
    const lines = this.linesOf(refusal.source);
    if (lines.rate.msUntilAvailable(1) > 0) {
      lines.unlogged++;
      return;
    }
    lines.rate.reserve(1);
    this.write(refusal, lines.unlogged);
    lines.unlogged = 0;
  };

  private write({ source, path, sender, error, bytes }: Refusal, unlogged: number): void {
    const { reason, offset } = error;
    const length = bytes.length;
    const firstBytes = Buffer.from(bytes.subarray(0, loggedBytes)).toString('hex');
    this.log.info(
      {
        event: 'message-refused',
        source,
        path: path?.slice(0, loggedPathChars),
        sender,
        reason,
        offset,
        length,
        firstBytes,
        unlogged,
      },
      'refused a malformed message; unlogged counts those refused without a line since the previous one',
    );
  }

  private linesOf(source: RefusalSource): SourceLines {
    const existing = this.linesBySource.get(source);
    if (existing) return existing;
    const rate = new TokenBucket(maxLinesPerS, maxLinesAtOnce, this.clock);
    const lines = { rate, unlogged: 0 };
    this.linesBySource.set(source, lines);
    return lines;
  }
}

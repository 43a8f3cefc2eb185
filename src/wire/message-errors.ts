/** Errors of received messages that are not decoded. */

/** Why a message is refused. */
export type MalformedReason =
  /** The message ends before the values that it announces. */
  | 'truncated'
  /** Bytes follow after the end of the message. */
  | 'trailing-bytes'
  /** The message is larger than its receiver accepts. */
  | 'too-large'
  /** The message did not end, and was given up in favour of later ones. */
  | 'abandoned'
  /** Lists and maps are nested too deep. */
  | 'too-deep'
  /** Decoded, the message would need more memory than its length allows, or than its receiver accepts. */
  | 'too-expensive'
  /** A value has an extension type. The protocols use none. */
  | 'extension'
  /** A value begins with the byte that MessagePack reserves. */
  | 'reserved-byte'
  /** The key of a map is not text. */
  | 'key-not-text'
  /** A text is not valid UTF-8. */
  | 'invalid-text'
  /** The library refused the message, for the reason in `cause`. */
  | 'undecodable';

/** A received message is malformed, or it would cost more than its length allows. */
export class MalformedMessageError extends Error {
  /**
   * @param reason why the message is refused
   * @param offset position in bytes of the value for which it is refused
   * @param options may contain the cause of the error
   */
  constructor(
    readonly reason: MalformedReason,
    readonly offset: number,
    options?: ErrorOptions,
  ) {
    super(`malformed message: ${reason} at byte ${offset}`, options);
    this.name = 'MalformedMessageError';
  }
}

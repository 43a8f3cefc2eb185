/** Errors of requests to the state service. */

/** What a request asked of the state service. */
export type StoreOperation =
  'read' | 'list' | 'watch' | 'commit' | 'create-lease' | 'renew-lease' | 'revoke-lease';

/** A request to the state service whose result is not known. Catch this class to treat every reason alike. */
export class StoreError extends Error {
  /**
   * @param operation what the request asked for
   * @param message the reason, for logs
   * @param options the error that led to this one, where there is one
   */
  constructor(
    readonly operation: StoreOperation,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** The state service answered, with a status that holds no result, such as 429 over its limits or 503 in an outage. */
export class StoreStatusError extends StoreError {
  /**
   * @param operation what the request asked for
   * @param status the HTTP status of the answer
   */
  constructor(
    operation: StoreOperation,
    readonly status: number,
  ) {
    super(operation, `${operation} answered ${status}`);
  }
}

/**
 * No readable answer arrived: the deadline passed, the connection broke, the answer could not be decoded, or the process
 * is stopping. The request may have been executed, or may yet be. `cause` holds the error of the connection.
 */
export class StoreConnectionError extends StoreError {
  /**
   * @param operation what the request asked for
   * @param cause the error of the connection
   */
  constructor(operation: StoreOperation, cause: unknown) {
    super(operation, `${operation} got no answer: ${messageOf(cause)}`, { cause });
  }
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

/** Errors of requests to the state service. */

/** The operation that a request to the state service asks for. */
export type StoreOperation =
  'read' | 'list' | 'watch' | 'commit' | 'create-lease' | 'renew-lease' | 'revoke-lease';

/**
 * The result of a request to the state service is not known. Catch this class to handle all reasons alike.
 */
export class StoreError extends Error {
  /**
   * @param operation the operation that the request asked for
   * @param message the reason, for logs
   * @param options the error that caused this one, if any
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

/**
 * The state service answered with a status without a result, such as 429 when a rate limit is exceeded or 503
 * during an outage.
 */
export class StoreStatusError extends StoreError {
  /**
   * @param operation the operation that the request asked for
   * @param status the HTTP status of the answer
   */
  constructor(
    operation: StoreOperation,
    readonly status: number,
  ) {
    super(operation, `state service answered ${operation} request with unexpected status ${status}`);
  }
}

/**
 * No readable answer arrived: the request timed out, the connection broke, the answer could not be decoded,
 * or the process is stopping. The request may have been executed, or may still be executed later. `cause`
 * holds the error of the connection.
 */
export class StoreConnectionError extends StoreError {
  /**
   * @param operation the operation that the request asked for
   * @param cause the error of the connection
   */
  constructor(operation: StoreOperation, cause: unknown) {
    super(
      operation,
      `no readable answer from the state service to ${operation} request: ${messageOf(cause)}`,
      { cause },
    );
  }
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

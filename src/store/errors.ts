/** Errors of requests to the state service. */

/** The operation that a request to the state service performs. */
export type StoreOperation =
  'read' | 'list' | 'watch' | 'commit' | 'create-lease' | 'renew-lease' | 'revoke-lease';

/**
 * Thrown if the result of a request to the state service is not known. This is the base class of all store
 * errors.
 */
export class StoreError extends Error {
  /**
   * @param operation the operation of the request
   * @param message the reason, for logs
   * @param options may contain the cause of the error
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
 * Thrown if the state service answers with a status that gives no result, such as 429 when a rate limit is
 * exceeded or 503 during an outage.
 */
export class StoreStatusError extends StoreError {
  /**
   * @param operation the operation of the request
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
 * Thrown if no readable answer arrived: the request timed out, the connection broke, the answer could not be
 * decoded, or the process is stopping. The service may have executed the request, or may still execute it
 * later. `cause` is the underlying connection error.
 */
export class StoreConnectionError extends StoreError {
  /**
   * @param operation the operation of the request
   * @param cause the underlying connection error
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

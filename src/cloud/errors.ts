/** Errors thrown by requests to the cloud. */

/** The operation that a request to the cloud was sent for. */
export type CloudOperation = 'machine types' | 'machine list' | 'rental' | 'release';

/**
 * A request to the cloud failed: no readable response arrived, or the status of the response was not 200.
 * Callers that handle both cases in the same way catch this class.
 */
export class CloudError extends Error {
  /**
   * @param operation the operation that was requested
   * @param message the reason, for logs
   * @param options the error that caused this error, if any
   */
  constructor(
    readonly operation: CloudOperation,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = new.target.name;
  }
}

/**
 * The cloud responded with an HTTP status other than 200, so the response does not contain the requested
 * data.
 */
export class CloudStatusError extends CloudError {
  /**
   * @param operation the operation that was requested
   * @param status the HTTP status of the response
   */
  constructor(
    operation: CloudOperation,
    readonly status: number,
  ) {
    super(operation, `${operation} request to the cloud failed with HTTP status ${status}`);
  }
}

/**
 * No readable response arrived, so the cloud may or may not have processed the request. `cause` holds the
 * underlying connection error.
 */
export class CloudConnectionError extends CloudError {
  /**
   * @param operation the operation that was requested
   * @param cause the underlying connection error
   */
  constructor(operation: CloudOperation, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(operation, `${operation} request to the cloud got no readable response: ${reason}`, { cause });
  }
}

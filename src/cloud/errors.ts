/** Errors of requests to the cloud. */

/** What a request asked of the cloud. */
export type CloudOperation = 'machine types' | 'machine list' | 'rental' | 'release';

/** A request to the cloud without a result. Catch this class to treat every reason alike. */
export class CloudError extends Error {
  /**
   * @param operation what the request asked for
   * @param message the reason, for logs
   * @param options the error that led to this one, where there is one
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

/** The cloud answered, with a status that holds no result. */
export class CloudStatusError extends CloudError {
  /**
   * @param operation what the request asked for
   * @param status the HTTP status of the answer
   */
  constructor(
    operation: CloudOperation,
    readonly status: number,
  ) {
    super(operation, `${operation} answered ${status}`);
  }
}

/** No readable answer arrived; the request may have been executed. `cause` holds the error of the connection. */
export class CloudConnectionError extends CloudError {
  /**
   * @param operation what the request asked for
   * @param cause the error of the connection
   */
  constructor(operation: CloudOperation, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(operation, `${operation} got no answer: ${reason}`, { cause });
  }
}

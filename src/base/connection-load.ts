/** Tracks how close a controller's HTTP server is to its connection limit. */

/**
 * If more than this share of the connection limit is in use, the server closes the connection of a worker
 * after each heartbeat response.
 */
const nearLimitRatio = 0.7;

/**
 * Compares the number of open connections of workers and health checks with the connection limit of the
 * server.
 */
export class ConnectionLoad {
  /**
   * Number of open connections of workers and health checks. Connections of users are not counted. They use
   * the part of the connection limit that is kept free for them.
   */
  openConnections = 0;

  /** @param maxConnections the connection limit of the server: it refuses connections beyond this number */
  constructor(readonly maxConnections: number) {}

  /**
   * Whether the server has to close the connection of a worker after each heartbeat, so that the worker opens
   * a new connection for its next heartbeat. If the server kept all connections open, it would refuse
   * connections of other workers, and these workers would be marked as failed.
   */
  get isNearLimit(): boolean {
    return this.openConnections > this.maxConnections * nearLimitRatio;
  }
}

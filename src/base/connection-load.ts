/** Tracks how close a controller's HTTP server is to its connection limit. */

/**
 * If more than this part of the limit is in use, the server closes a connection after each heartbeat
 * response.
 */
const nearLimitRatio = 0.7;

/**
 * Compares the number of open connections of workers and health checks with the connection limit of the
 * server.
 */
export class ConnectionLoad {
  /**
   * Open connections of workers and health checks. Connections of users are not counted: they use the part of
   * the limit that is kept free.
   */
  openConnections = 0;

  /** @param maxConnections the connection limit of the server: it refuses connections beyond this number */
  constructor(readonly maxConnections: number) {}

  /**
   * Whether the server has to close the connections of workers between two heartbeats. A worker then has to
   * open a new connection for its next heartbeat. If the server kept all connections open, it would refuse
   * connections of other workers, and these workers would be marked as failed.
   */
  get isNearLimit(): boolean {
    return this.openConnections > this.maxConnections * nearLimitRatio;
  }
}

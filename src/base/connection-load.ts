/** How many of the connections that a controller may accept are open. */

/** Above this part of the limit, connections of workers are closed after each response. */
const crowdedRatio = 0.7;

/** Counts the open connections of workers and health checks against the limit of the server. */
export class ConnectionLoad {
  /** Users' connections are not counted: they are in the part of the limit that is kept free. */
  openConnections = 0;

  /** @param maxConnections the server refuses connections beyond so many */
  constructor(readonly maxConnections: number) {}

  /**
   * True where workers have to give up their connections between two heartbeats. That costs a worker a new connection,
   * while a worker whose connection is refused would be taken for failed.
   */
  get isCrowded(): boolean {
    return this.openConnections > this.maxConnections * crowdedRatio;
  }
}

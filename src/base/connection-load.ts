/** How many of the connections that a controller may have are open. */

/** Above this part of them, connections are not kept open between two requests of machines. */
const crowdedShare = 0.7;

export class ConnectionLoad {
  /** Connections of machines and of health checks; users' are in the part that is kept free. */
  open = 0;

  constructor(readonly most: number) {}

  /**
   * Machines whose connections were refused would be called silent: a connection that is given up between two reports
   * costs its machine nothing but a new one.
   */
  get isCrowded(): boolean {
    return this.open > this.most * crowdedShare;
  }
}

/** A network link for tests: a TCP proxy that can simulate a partition or refuse connections. */
import { type Server, type Socket, createConnection, createServer } from 'node:net';

/**
 * Forwards TCP connections to a local port. While the link is cut, it holds all data and delivers the data
 * later. While the link refuses connections, it resets them.
 */
export class Link {
  private isCut = false;
  private isRefusing = false;
  private readonly undelivered: (() => void)[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly targetPort: number) {
    this.server = createServer((socket) => this.connect(socket));
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, '127.0.0.1', () => resolve()));
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /**
   * Partitions the link: no data passes, and neither side detects this. After `heal`, the held data arrives
   * in order.
   */
  cut(): void {
    this.isCut = true;
  }

  /** Resets all connections. New connections fail immediately until `heal` is called. */
  refuse(): void {
    this.isRefusing = true;
    for (const socket of this.sockets) socket.destroy();
  }

  /** Ends a partition or refusal, and delivers the held data. */
  heal(): void {
    this.isCut = false;
    this.isRefusing = false;
    for (const deliver of this.undelivered.splice(0)) deliver();
  }

  private connect(clientSocket: Socket): void {
    if (this.isRefusing) return void clientSocket.destroy();
    const targetSocket = createConnection({ host: '127.0.0.1', port: this.targetPort });
    for (const [from, to] of [
      [clientSocket, targetSocket],
      [targetSocket, clientSocket],
    ] as const) {
      this.sockets.add(from);
      from.on('data', (bytes) => this.forward(() => !to.destroyed && to.write(bytes)));
      from.on('end', () => this.forward(() => to.end()));
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        this.forward(() => to.destroySoon());
      });
    }
  }

  private forward(deliver: () => void): void {
    if (this.isCut) this.undelivered.push(deliver);
    else deliver();
  }
}

import { type Server, type Socket, createConnection, createServer } from 'node:net';

/** A way between two parties that a test can cut, with what is sent held back and delivered late, or refuse. */
export class Link {
  private held = false;
  private refusing = false;
  private readonly waiting: (() => void)[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly target: number) {
    this.server = createServer((socket) => this.join(socket));
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, '127.0.0.1', () => resolve()));
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /** Nothing passes and nobody is told; once it is over, what was sent arrives in order. */
  cut(): void {
    this.held = true;
  }

  /** Connections are reset, and new ones fail at once. */
  refuse(): void {
    this.refusing = true;
    for (const socket of this.sockets) socket.destroy();
  }

  heal(): void {
    this.held = false;
    this.refusing = false;
    for (const deliver of this.waiting.splice(0)) deliver();
  }

  private join(near: Socket): void {
    if (this.refusing) return void near.destroy();
    const far = createConnection({ host: '127.0.0.1', port: this.target });
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      this.sockets.add(from);
      from.on('data', (bytes) => this.pass(() => !to.destroyed && to.write(bytes)));
      from.on('end', () => this.pass(() => to.end()));
      from.on('error', () => undefined);
      from.on('close', () => {
        this.sockets.delete(from);
        this.pass(() => to.destroySoon());
      });
    }
  }

  private pass(deliver: () => void): void {
    if (this.held) this.waiting.push(deliver);
    else deliver();
  }
}

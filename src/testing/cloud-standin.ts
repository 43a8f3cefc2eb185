/** Simulates the cloud for tests: an HTTP server with the cloud's API. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type Fields, decodeFields, asList, asNumber, asText } from '../wire/codec.js';
import { ReplacedAnswers } from './replaced-answers.js';
import { reply } from './store-standin.js';

/**
 * A machine that the simulated cloud has rented out. `rentedAt` is the wall-clock time in ms since the epoch.
 */
export interface RentedMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  rentedAt: number;
}

/**
 * A stand-in for the cloud with one machine type in two zones. Rental requests are idempotent by name, and
 * the number of machines in each zone is limited.
 */
export class CloudStandIn {
  readonly machines = new Map<string, RentedMachine>();
  readonly released: string[] = [];
  readonly rentals = new Map<string, string[]>();
  /** Maximum number of rented machines of each kind (spot and ordinary) in each zone. */
  capacity = 4;
  /** Age in ms of the state that the list of machines shows. */
  listLagMs = 0;
  /** Number of upcoming rentals that are executed without an answer: the connection is closed instead. */
  rentalAnswersToDrop = 0;
  /**
   * The next `count` releases get no answer, because the connection is closed, and are executed `ms`
   * milliseconds later.
   */
  delayedReleases = { count: 0, ms: 0 };
  /** If true, every request is answered with 503, as in an outage. */
  hasOutage = false;
  /** Requests whose answers are replaced are not executed. */
  readonly replacedAnswers = new ReplacedAnswers();
  onRent: (machine: RentedMachine) => void = () => undefined;
  onRelease: (id: string) => void = () => undefined;
  private readonly recentlyReleased = new Map<string, { machine: RentedMachine; releasedAt: number }>();
  private lastMachineNumber = 0;
  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => void this.serve(request, response));
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, '127.0.0.1', () => resolve()));
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const bytes = Buffer.concat(chunks);
    const body = bytes.length > 0 ? decodeFields(bytes) : {};
    const path = new URL(request.url ?? '/', 'http://cloud').pathname;
    if (this.hasOutage) return reply(response, 503, { error: 'trouble' });
    if (this.replacedAnswers.send(path, response)) return;
    if (path === '/machine_types') return reply(response, 200, { hulls: [machineType] });
    if (path === '/rentals/release') {
      const hosts = asList(body['hosts']).map((h) => asText(h));
      if (this.delayedReleases.count > 0) {
        this.delayedReleases.count--;
        setTimeout(() => this.release(hosts), this.delayedReleases.ms).unref();
        return void response.destroy();
      }
      this.release(hosts);
      return reply(response, 200, {});
    }
    if (request.method === 'GET') return reply(response, 200, { hosts: this.listMachines(), hasNext: false });
    this.rent(body, response);
  }

  /**
   * Ends a machine and all tasks on it although the machine was not released. The list of machines still
   * contains the machine.
   */
  failMachine(id: string): void {
    this.onRelease(id);
  }

  private release(hosts: string[]): void {
    for (const id of hosts) {
      const machine = this.machines.get(id);
      if (!machine) continue;
      this.machines.delete(id);
      this.recentlyReleased.set(id, { machine, releasedAt: Date.now() });
      this.released.push(id);
      this.onRelease(id);
    }
  }

  private listMachines(): Fields[] {
    const asOf = Date.now() - this.listLagMs;
    const stillListed = [...this.recentlyReleased.values()]
      .filter(({ releasedAt }) => releasedAt > asOf)
      .map(({ machine }) => machine);
    const listed = [...this.machines.values(), ...stillListed].filter((m) => m.rentedAt <= asOf);
    listed.sort((a, b) => (a.id < b.id ? -1 : 1));
    return listed.map((m) => ({
      id: m.id,
      endpoint: '127.0.0.1:1',
      hull: m.type,
      berth: m.zone,
      loaners: m.spot,
      status: 'running',
      heldS: (Date.now() - m.rentedAt) / 1000,
    }));
  }

  private rent(body: Fields, response: ServerResponse): void {
    const name = asText(body['charter']);
    const earlierHosts = this.rentals.get(name);
    if (earlierHosts) return reply(response, 200, { hosts: earlierHosts });
    const zone = asText(body['berth']);
    const spot = body['loaners'] === true;
    const rentedCount = [...this.machines.values()].filter((m) => m.zone === zone && m.spot === spot).length;
    const count = Math.min(asNumber(body['howMany']), this.capacity - rentedCount);
    if (count <= 0) return reply(response, 503, { error: 'no capacity' });
    const hosts: string[] = [];
    for (let i = 0; i < count; i++) {
      const id = `vm-${String(++this.lastMachineNumber).padStart(6, '0')}`;
      const machine = { id, type: asText(body['hull']), zone, spot, rentedAt: Date.now() };
      this.machines.set(id, machine);
      hosts.push(id);
      this.onRent(machine);
    }
    this.rentals.set(name, hosts);
    if (this.rentalAnswersToDrop > 0) {
      this.rentalAnswersToDrop--;
      return void response.destroy();
    }
    reply(response, 200, { hosts });
  }
}

export const machineType = {
  name: 'c8',
  cpus: 8,
  accelerators: 0,
  memoryGb: 32,
  localGb: 20,
  fetchGbPerS: 1,
  price: 1,
  marketPrice: 0.4,
  startupS: 1,
  berths: ['a', 'b'],
};

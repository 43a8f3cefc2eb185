import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { seeded } from './seeded.js';
import { decodeFields, encode, isFields, list, number, sizeOf, text, type Fields } from '../wire/codec.js';

export interface StoreLimits {
  rps: number;
  writeRps: number;
  txnOps: number;
  valueBytes: number;
}

const usualLimits: StoreLimits = { rps: 400, writeRps: 200, txnOps: 20, valueBytes: 32 * 1024 };

interface Stored {
  value: unknown;
  version: number;
  lease: number | undefined;
}

/** The root below which we keep all our keys. */
const root = 'sk/';
const storedAt = (key: string): string => `${root}${key}`;

/**
 * A stand-in for the state service, written from the protocol: versions, conditions, grants, watches, limits. Each client
 * has a port of its own, so that one of them alone can be refused or cut off.
 */
export class StoreStandIn {
  revision = 0;
  readonly keys = new Map<string, Stored>();
  /** 503 for every request, as in an outage. */
  down = false;
  /** These alone get 503; their watches wait and their grants run out. */
  readonly refused = new Set<string>();
  /** What these send is held back, and delivered when their cut is over: carried out late, and answered to nobody. */
  readonly held = new Set<string>();
  /** How long every answer takes. */
  delayMs = 0;
  /** Answers to such transactions are held back once these are carried out, until `releaseAnswers` is called. */
  holdsAnswers: ((client: string, keys: string[]) => boolean) | undefined;
  /** This share of the transactions is answered up to that much later than it is carried out. */
  lateAnswers: { share: number; toMs: number } | undefined;
  private readonly heldAnswers: (() => void)[] = [];
  /** Carries the next commits out and never answers: their fate is unknown to whoever sent them. */
  losesAnswers = 0;
  /** This share of the transactions that write gets no answer and is carried out that much later, after newer ones. */
  late: { share: number; fromMs: number; toMs: number } | undefined;
  /** How many were. */
  carriedOutLate = 0;
  /** The next transaction that writes such a key gets no answer, and is carried out when it is delivered. */
  keeps: ((key: string) => boolean) | undefined;
  private readonly kept: Fields[] = [];
  refusals = 0;
  /** Transactions that were refused for their size, or for that of a value, each with the keys that it wrote. */
  readonly sizeRefusals: string[] = [];
  private readonly changes: Fields[] = [];
  private readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  private nextLease = 1;
  private readonly waiters = new Set<() => void>();
  private readonly servers: Server[] = [];
  private readonly timer: NodeJS.Timeout;
  private seconds = { at: 0, requests: 0, writes: 0 };

  private readonly random: () => number;

  private readonly limits: StoreLimits;

  constructor(limits: Partial<StoreLimits>, seed = 1) {
    this.limits = { ...usualLimits, ...limits };
    this.random = seeded(seed);
    this.timer = setInterval(() => this.expire(), 20);
  }

  listen(port: number, client = ''): Promise<void> {
    const server = createServer((request, response) => void this.serve(request, response, client));
    this.servers.push(server);
    return new Promise((resolve) => server.listen(port, '127.0.0.1', () => resolve()));
  }

  /** The limits change without notice; what is stored stays. */
  lower(limits: Partial<StoreLimits>): void {
    Object.assign(this.limits, limits);
  }

  close(): void {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** For assertions: the value of a key, below our root. */
  value(key: string): unknown {
    return this.keys.get(storedAt(key))?.value;
  }

  /** For assertions: all keys below a prefix of ours, by our names. */
  *below(prefix: string): Iterable<[string, Stored]> {
    for (const [key, stored] of this.keys) {
      if (key.startsWith(storedAt(prefix))) yield [key.slice(root.length), stored];
    }
  }

  /** The revision of its last change; 0 where there is no such key. */
  version(key: string): number {
    return this.keys.get(storedAt(key))?.version ?? 0;
  }

  private async serve(request: IncomingMessage, response: ServerResponse, client: string): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const bytes = Buffer.concat(chunks);
    const url = new URL(request.url ?? '/', 'http://store');
    const body = bytes.length > 0 ? decodeFields(bytes) : {};
    while (this.held.has(client)) await pause(20);
    if (this.delayMs > 0) await pause(this.delayMs / 2);
    if (this.down || this.refused.has(client)) return reply(response, 503, {});
    if (!this.admit('requests', 1, this.limits.rps)) return reply(response, 429, {});
    if (url.pathname === '/changes') return this.watch(url, response, client);
    if (url.pathname === '/commit' && this.keeps && writtenBy(body).some(this.keeps)) {
      this.keeps = undefined;
      this.kept.push(body);
      return void response.destroy();
    }
    if (url.pathname === '/commit' && this.late && list(body['writes']).length > 0) {
      const { share, fromMs, toMs } = this.late;
      if (this.random() < share) {
        // Whoever sent it gives it up and goes on; by the time that it is carried out there are newer ones.
        response.destroy();
        await pause(fromMs + this.random() * (toMs - fromMs));
        while (this.down) await pause(20);
        this.commit(body);
        this.carriedOutLate++;
        return;
      }
    }
    const [status, answer] = this.answer(request.method ?? 'GET', url, body);
    if (url.pathname === '/commit' && status === 200 && this.losesAnswers > 0) {
      this.losesAnswers--;
      return void response.destroy();
    }
    if (url.pathname === '/commit') await this.holdAnswer(client, body);
    if (this.delayMs > 0) await pause(this.delayMs / 2);
    // The cut began meanwhile: the answer goes nowhere.
    while (this.held.has(client)) await pause(20);
    reply(response, status, answer);
  }

  /** Answers that are held back now. */
  get answersHeld(): number {
    return this.heldAnswers.length;
  }

  releaseAnswers(): void {
    this.holdsAnswers = undefined;
    for (const release of this.heldAnswers.splice(0)) release();
  }

  private async holdAnswer(client: string, body: Fields): Promise<void> {
    if (this.holdsAnswers?.(client, keysIn(body))) {
      await new Promise<void>((release) => this.heldAnswers.push(release));
    }
    const { lateAnswers } = this;
    if (lateAnswers && this.random() < lateAnswers.share) await pause(this.random() * lateAnswers.toMs);
  }

  /** Carries out what was kept, after all that was committed meanwhile; says how much that was. */
  deliver(): number {
    const kept = this.kept.splice(0);
    for (const body of kept) this.commit(body);
    return kept.length;
  }

  private admit(kind: 'requests' | 'writes', units: number, limit: number): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.seconds.at) this.seconds = { at: second, requests: 0, writes: 0 };
    this.seconds[kind] += units;
    const admitted = this.seconds[kind] <= limit;
    if (!admitted) this.refusals++;
    return admitted;
  }

  private answer(method: string, url: URL, body: Fields): [number, unknown] {
    const path = url.pathname;
    if (path === '/keys') return this.list(url);
    if (path.startsWith('/keys/')) {
      const key = decodeURIComponent(path.slice('/keys/'.length));
      const stored = this.keys.get(key);
      return stored
        ? [200, { path: key, value: stored.value, stamp: stored.version }]
        : [404, { logline: this.revision }];
    }
    if (path === '/commit') return this.commit(body);
    if (path === '/grants') {
      const id = this.nextLease++;
      const ttlMs = number(body['lifeMs']);
      this.leases.set(id, { ttlMs, endsAt: Date.now() + ttlMs });
      return [200, { tenure: id }];
    }
    const id = Number(path.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return [404, {}];
    if (method === 'DELETE') this.end(id);
    else lease.endsAt = Date.now() + lease.ttlMs;
    return [200, {}];
  }

  private list(url: URL): [number, unknown] {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = url.searchParams.get('since') ?? '';
    const most = Number(url.searchParams.get('most') ?? 1000);
    const found = [...this.keys]
      .filter(([key]) => key.startsWith(prefix) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = found.slice(0, most).map(([key, s]) => ({ path: key, value: s.value, stamp: s.version }));
    return [200, { items, hasNext: found.length > most, logline: this.revision }];
  }

  private commit(body: Fields): [number, unknown] {
    const writes = list(body['writes']).filter(isFields);
    if (writes.length > this.limits.txnOps) return this.refuseForSize('too many writes', writes);
    const oversized = writes.filter((write) => sizeOf(write['value']) > this.limits.valueBytes);
    if (oversized.length > 0) return this.refuseForSize('value too large', oversized);
    if (writes.length > 0 && !this.admit('writes', writes.length, this.limits.writeRps)) return [429, {}];
    const failed = list(body['when'])
      .filter(isFields)
      .filter((c) => (this.keys.get(text(c['path']))?.version ?? 0) !== number(c['stamp']))
      .map((c) => text(c['path']));
    if (failed.length > 0) return [409, { failed, logline: this.revision }];
    const leases = writes.map((w) => w['tenure']).filter((lease) => lease !== undefined);
    if (leases.some((lease) => !this.leases.has(number(lease)))) return [400, { error: 'no such lease' }];
    if (writes.length > 0) this.revision++;
    for (const write of writes) {
      if (typeof write['drop'] === 'string') this.drop(write['drop']);
      else this.set(text(write['set']), write['value'], write['tenure'] as number | undefined);
    }
    this.wake();
    return [200, { logline: this.revision }];
  }

  private refuseForSize(error: string, writes: Fields[]): [number, unknown] {
    const keys = writes.map((write) => text(write['set'] ?? write['drop']));
    this.sizeRefusals.push(`${error}: ${keys.join(' ')}`);
    return [400, { error }];
  }

  private set(key: string, value: unknown, lease: number | undefined): void {
    this.keys.set(key, { value, version: this.revision, lease });
    this.changes.push({ set: key, value, stamp: this.revision });
  }

  private drop(key: string): void {
    if (this.keys.delete(key)) this.changes.push({ drop: key, stamp: this.revision });
  }

  private expire(): void {
    if (this.down) {
      // Once an outage ends, every lease has its full time again.
      for (const lease of this.leases.values()) lease.endsAt = Date.now() + lease.ttlMs;
      return;
    }
    for (const [id, lease] of this.leases) if (lease.endsAt < Date.now()) this.end(id);
  }

  /** As after a standstill that outlasted them all: whatever hangs on them goes. */
  endAllLeases(): void {
    for (const id of [...this.leases.keys()]) this.end(id);
  }

  private end(id: number): void {
    this.leases.delete(id);
    const keys = [...this.keys].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.drop(key);
    this.wake();
  }

  private wake(): void {
    for (const waiter of [...this.waiters]) waiter();
  }

  private watch(url: URL, response: ServerResponse, client: string): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since'));
    const until = Date.now() + Number(url.searchParams.get('holdMs') ?? 0);
    let timer: NodeJS.Timeout;
    const attempt = (): void => {
      // In an outage, or while this client alone is refused or cut off, its open watches wait.
      const blocked = this.down || this.refused.has(client) || this.held.has(client);
      const news = this.changes.filter(
        (c) => number(c['stamp']) > since && text(c['set'] ?? c['drop']).startsWith(prefix),
      );
      clearTimeout(timer);
      if (blocked || (news.length === 0 && Date.now() < until)) {
        timer = setTimeout(attempt, blocked ? 20 : Math.max(0, until - Date.now()) + 5);
        return;
      }
      this.waiters.delete(attempt);
      reply(response, 200, { logline: this.revision, news });
    };
    this.waiters.add(attempt);
    response.on('close', () => {
      clearTimeout(timer);
      this.waiters.delete(attempt);
    });
    attempt();
  }
}

/** Every key that a transaction names, in a condition or a write. */
function keysIn(body: Fields): string[] {
  const conditions = list(body['when'])
    .filter(isFields)
    .map((condition) => text(condition['path']));
  return [...conditions, ...writtenBy(body)];
}

function writtenBy(body: Fields): string[] {
  return list(body['writes'])
    .filter(isFields)
    .map((write) => text(write['set'] ?? write['drop']));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

export function reply(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/msgpack' });
  response.end(encode(body));
}

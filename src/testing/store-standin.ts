/**
 * Simulates the state service for tests: an HTTP server with the same API, and faults that a test can inject.
 */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { ReplacedAnswers } from './replaced-answers.js';
import { seeded } from './seeded.js';
import {
  decodeFields,
  encode,
  isFieldMap,
  asList,
  asNumber,
  jsonSizeBytes,
  asText,
  type Fields,
} from '../wire/codec.js';

export interface StoreLimits {
  rps: number;
  writeRps: number;
  txnOps: number;
  valueBytes: number;
}

const defaultLimits: StoreLimits = { rps: 400, writeRps: 200, txnOps: 20, valueBytes: 32 * 1024 };

interface StoredEntry {
  value: unknown;
  version: number;
  lease: number | undefined;
}

/** Prefix of all keys that controllers store. */
const rootPrefix = 'sk/';
const fullKey = (key: string): string => `${rootPrefix}${key}`;

/**
 * A stand-in for the state service that implements its versions, conditions, leases (`grants`), watches and
 * limits. Each client has its own port, so that a test can refuse or partition a single client.
 */
export class StoreStandIn {
  revision = 0;
  readonly keys = new Map<string, StoredEntry>();
  /** If true, every request is answered with 503, as in an outage. */
  hasOutage = false;
  /**
   * Clients whose requests are answered with 503. Their open watches get no answer, and their leases expire.
   */
  readonly refusedClients = new Set<string>();
  /**
   * Partitioned clients. Their requests are held until the partition ends, and are then executed late, when
   * the client no longer waits for an answer.
   */
  readonly partitionedClients = new Set<string>();
  /**
   * Additional time in ms from a request to its answer. Half of it passes before the execution of the
   * request.
   */
  answerDelayMs = 0;
  /**
   * Returns true if the answer to a transaction of this client with these keys is to be held. The transaction
   * is executed immediately. Its answer is sent when `releaseAnswers` is called.
   */
  shouldHoldAnswer: ((client: string, keys: string[]) => boolean) | undefined;
  /** The answers to this share of the transactions are sent up to `toMs` milliseconds after the execution. */
  delayedAnswers: { share: number; toMs: number } | undefined;
  private readonly heldAnswers: (() => void)[] = [];
  /**
   * Number of upcoming transactions that are applied without an answer, so that their outcome is unknown to
   * the client.
   */
  answersToDrop = 0;
  /**
   * This share of the transactions with writes gets no answer. Each of these transactions is executed
   * `fromMs` to `toMs` milliseconds later, after newer transactions.
   */
  lateCommits: { share: number; fromMs: number; toMs: number } | undefined;
  /** Number of transactions that were executed late because of `lateCommits`. */
  lateCommitCount = 0;
  /**
   * Selects one transaction that is withheld: the next transaction that writes a key for which this function
   * returns true. The transaction gets no answer, and is executed when the test calls `applyWithheldCommits`.
   * Later transactions are not withheld.
   */
  shouldWithholdCommit: ((key: string) => boolean) | undefined;
  private readonly withheldCommits: Fields[] = [];
  readonly replacedAnswers = new ReplacedAnswers();
  /** Number of requests and transactions that were refused because of a rate limit. */
  refusals = 0;
  /**
   * Transactions that were refused because they had too many writes or a value that was too large. Each
   * element contains the reason, and the keys of all writes or of the values that were too large.
   */
  readonly sizeRefusals: string[] = [];
  private readonly changes: Fields[] = [];
  private readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  private nextLease = 1;
  private readonly openWatches = new Set<() => void>();
  private readonly servers: Server[] = [];
  private readonly expiryTimer: NodeJS.Timeout;
  private currentSecond = { at: 0, requests: 0, writes: 0 };

  private readonly random: () => number;

  private readonly limits: StoreLimits;

  constructor(limits: Partial<StoreLimits>, seed = 1) {
    this.limits = { ...defaultLimits, ...limits };
    this.random = seeded(seed);
    this.expiryTimer = setInterval(() => this.endExpiredLeases(), 20);
  }

  listen(port: number, client = ''): Promise<void> {
    const server = createServer((request, response) => void this.serve(request, response, client));
    this.servers.push(server);
    return new Promise((resolve) => server.listen(port, '127.0.0.1', () => resolve()));
  }

  /** Changes limits without notice. Stored values are kept, even if they exceed the new limits. */
  changeLimits(limits: Partial<StoreLimits>): void {
    Object.assign(this.limits, limits);
  }

  close(): void {
    clearInterval(this.expiryTimer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** For assertions: returns the value of a key. The key is given without the root prefix. */
  value(key: string): unknown {
    return this.keys.get(fullKey(key))?.value;
  }

  /**
   * For assertions: returns all entries whose keys start with a prefix. The prefix and the returned keys are
   * without the root prefix.
   */
  *entriesBelow(prefix: string): Iterable<[string, StoredEntry]> {
    for (const [key, stored] of this.keys) {
      if (key.startsWith(fullKey(prefix))) yield [key.slice(rootPrefix.length), stored];
    }
  }

  /**
   * For assertions: returns the store revision of the latest change of a key, or 0 if the key does not exist.
   */
  version(key: string): number {
    return this.keys.get(fullKey(key))?.version ?? 0;
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
    while (this.partitionedClients.has(client)) await pause(20);
    if (this.answerDelayMs > 0) await pause(this.answerDelayMs / 2);
    if (this.hasOutage || this.refusedClients.has(client)) return reply(response, 503, {});
    if (!this.admit('requests', 1, this.limits.rps)) return reply(response, 429, {});
    if (url.pathname === '/changes') {
      if (this.replacedAnswers.send(url.pathname, response)) return;
      return this.watch(url, response, client);
    }
    if (
      url.pathname === '/commit' &&
      this.shouldWithholdCommit &&
      writtenKeys(body).some(this.shouldWithholdCommit)
    ) {
      this.shouldWithholdCommit = undefined;
      this.withheldCommits.push(body);
      return void response.destroy();
    }
    if (url.pathname === '/commit' && this.lateCommits && asList(body['writes']).length > 0) {
      const { share, fromMs, toMs } = this.lateCommits;
      if (this.random() < share) {
        // The client abandons this transaction, and sends newer transactions before this one is executed.
        response.destroy();
        await pause(fromMs + this.random() * (toMs - fromMs));
        while (this.hasOutage) await pause(20);
        this.commit(body);
        this.lateCommitCount++;
        return;
      }
    }
    const [status, answer] = this.answer(request.method ?? 'GET', url, body);
    if (url.pathname === '/commit' && status === 200 && this.answersToDrop > 0) {
      this.answersToDrop--;
      return void response.destroy();
    }
    if (url.pathname === '/commit') await this.delayAnswer(client, body);
    if (this.answerDelayMs > 0) await pause(this.answerDelayMs / 2);
    // If a partition began during the execution, the answer is also held until the partition ends, and then
    // arrives too late.
    while (this.partitionedClients.has(client)) await pause(20);
    if (!this.replacedAnswers.send(url.pathname, response)) reply(response, status, answer);
  }

  /** Number of held answers. */
  get heldAnswerCount(): number {
    return this.heldAnswers.length;
  }

  /** Stops holding answers, and sends all held answers. */
  releaseAnswers(): void {
    this.shouldHoldAnswer = undefined;
    for (const release of this.heldAnswers.splice(0)) release();
  }

  private async delayAnswer(client: string, body: Fields): Promise<void> {
    if (this.shouldHoldAnswer?.(client, namedKeys(body))) {
      await new Promise<void>((release) => this.heldAnswers.push(release));
    }
    const { delayedAnswers } = this;
    if (delayedAnswers && this.random() < delayedAnswers.share)
      await pause(this.random() * delayedAnswers.toMs);
  }

  /**
   * Executes the withheld transactions after all commits that arrived in the meantime. Returns their number.
   */
  applyWithheldCommits(): number {
    const commits = this.withheldCommits.splice(0);
    for (const body of commits) this.commit(body);
    return commits.length;
  }

  private admit(kind: 'requests' | 'writes', units: number, limit: number): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.currentSecond.at) this.currentSecond = { at: second, requests: 0, writes: 0 };
    this.currentSecond[kind] += units;
    const admitted = this.currentSecond[kind] <= limit;
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
      const ttlMs = asNumber(body['lifeMs']);
      this.leases.set(id, { ttlMs, endsAt: Date.now() + ttlMs });
      return [200, { tenure: id }];
    }
    const id = Number(path.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return [404, {}];
    if (method === 'DELETE') this.endLease(id);
    else lease.endsAt = Date.now() + lease.ttlMs;
    return [200, {}];
  }

  private list(url: URL): [number, unknown] {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = url.searchParams.get('since') ?? '';
    const limit = Number(url.searchParams.get('most') ?? 1000);
    const matches = [...this.keys]
      .filter(([key]) => key.startsWith(prefix) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = matches
      .slice(0, limit)
      .map(([key, s]) => ({ path: key, value: s.value, stamp: s.version }));
    return [200, { items, hasNext: matches.length > limit, logline: this.revision }];
  }

  private commit(body: Fields): [number, unknown] {
    const writes = asList(body['writes']).filter(isFieldMap);
    if (writes.length > this.limits.txnOps) return this.refuseForSize('too many writes', writes);
    const oversized = writes.filter((write) => jsonSizeBytes(write['value']) > this.limits.valueBytes);
    if (oversized.length > 0) return this.refuseForSize('value too large', oversized);
    if (writes.length > 0 && !this.admit('writes', writes.length, this.limits.writeRps)) return [429, {}];
    const failed = asList(body['when'])
      .filter(isFieldMap)
      .filter((c) => (this.keys.get(asText(c['path']))?.version ?? 0) !== asNumber(c['stamp']))
      .map((c) => asText(c['path']));
    if (failed.length > 0) return [409, { failed, logline: this.revision }];
    const leases = writes.map((w) => w['tenure']).filter((lease) => lease !== undefined);
    if (leases.some((lease) => !this.leases.has(asNumber(lease)))) return [400, { error: 'no such lease' }];
    if (writes.length > 0) this.revision++;
    for (const write of writes) {
      if (typeof write['drop'] === 'string') this.drop(write['drop']);
      else this.set(asText(write['set']), write['value'], write['tenure'] as number | undefined);
    }
    this.notifyWatches();
    return [200, { logline: this.revision }];
  }

  private refuseForSize(error: string, writes: Fields[]): [number, unknown] {
    const keys = writes.map((write) => asText(write['set'] ?? write['drop']));
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

  private endExpiredLeases(): void {
    if (this.hasOutage) {
      // Leases do not expire during an outage. After the outage, every lease has its full time to live again.
      for (const lease of this.leases.values()) lease.endsAt = Date.now() + lease.ttlMs;
      return;
    }
    for (const [id, lease] of this.leases) if (lease.endsAt < Date.now()) this.endLease(id);
  }

  /**
   * Ends all leases and deletes their keys, as if the state service had been paused for longer than the time
   * to live of every lease.
   */
  expireAllLeases(): void {
    for (const id of [...this.leases.keys()]) this.endLease(id);
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.keys].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.drop(key);
    this.notifyWatches();
  }

  private notifyWatches(): void {
    for (const notify of [...this.openWatches]) notify();
  }

  private watch(url: URL, response: ServerResponse, client: string): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since'));
    const until = Date.now() + Number(url.searchParams.get('holdMs') ?? 0);
    let timer: NodeJS.Timeout;
    const answerIfReady = (): void => {
      // An open watch gets no answer during an outage, or while its client is refused or partitioned.
      const blocked =
        this.hasOutage || this.refusedClients.has(client) || this.partitionedClients.has(client);
      const news = this.changes.filter(
        (c) => asNumber(c['stamp']) > since && asText(c['set'] ?? c['drop']).startsWith(prefix),
      );
      clearTimeout(timer);
      if (blocked || (news.length === 0 && Date.now() < until)) {
        timer = setTimeout(answerIfReady, blocked ? 20 : Math.max(0, until - Date.now()) + 5);
        return;
      }
      this.openWatches.delete(answerIfReady);
      reply(response, 200, { logline: this.revision, news });
    };
    this.openWatches.add(answerIfReady);
    response.on('close', () => {
      clearTimeout(timer);
      this.openWatches.delete(answerIfReady);
    });
    answerIfReady();
  }
}

/** Returns all keys in the conditions and the writes of a transaction. */
function namedKeys(body: Fields): string[] {
  const conditions = asList(body['when'])
    .filter(isFieldMap)
    .map((condition) => asText(condition['path']));
  return [...conditions, ...writtenKeys(body)];
}

function writtenKeys(body: Fields): string[] {
  return asList(body['writes'])
    .filter(isFieldMap)
    .map((write) => asText(write['set'] ?? write['drop']));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

export function reply(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/msgpack' });
  response.end(encode(body));
}

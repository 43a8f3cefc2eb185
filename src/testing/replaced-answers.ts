/** Lets a stand-in answer with bytes of the test's choice. */
import type { ServerResponse } from 'node:http';

interface ReplacedAnswer {
  path: string;
  bytes: Buffer;
  remaining: number;
}

/** Replaces the answers to upcoming requests, which are executed nevertheless. */
export class ReplacedAnswers {
  private readonly replaced: ReplacedAnswer[] = [];

  /** Replaces the answers to the next `count` requests whose path begins with `path`. */
  replace(path: string, bytes: Buffer, count: number): void {
    this.replaced.push({ path, bytes, remaining: count });
  }

  /** Number of answers that were not replaced yet. */
  get remaining(): number {
    return this.replaced.reduce((sum, { remaining }) => sum + remaining, 0);
  }

  /** Sends the replaced answer. Returns false if the answer to a request with this path is not replaced. */
  send(path: string, response: ServerResponse): boolean {
    const answer = this.replaced.find(
      (candidate) => candidate.remaining > 0 && path.startsWith(candidate.path),
    );
    if (!answer) return false;
    answer.remaining--;
    response.writeHead(200, { 'content-type': 'application/msgpack' });
    response.end(answer.bytes);
    return true;
  }
}

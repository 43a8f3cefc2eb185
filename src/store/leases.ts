/** Leases of the state service: keys written under one are deleted when it expires or is revoked. */
import { createLeaseBody, leasePath, parseLeaseId } from '../wire/state.js';
import { StoreStatusError } from './errors.js';
import type { StoreConnection } from './store-connection.js';

/** Creates, renews and revokes leases. */
export class Leases {
  /**
   * @param connection for creating and revoking
   * @param renewalConnection renewals alone, so that they wait for no other request
   */
  constructor(
    private readonly connection: Pick<StoreConnection, 'sendInTurn' | 'sendAhead'>,
    private readonly renewalConnection: Pick<StoreConnection, 'sendAhead'>,
  ) {}

  /**
   * Creates a lease that expires unless it is renewed within the time to live.
   *
   * @returns the lease's id
   * @throws {StoreError} when no lease is known to exist
   */
  async createLease(ttlMs: number): Promise<number> {
    const answer = await this.connection.sendInTurn('duty', {
      operation: 'create-lease',
      method: 'POST',
      path: '/grants',
      body: createLeaseBody(ttlMs),
    });
    if (answer.status !== 200) throw new StoreStatusError('create-lease', answer.status);
    return parseLeaseId(answer.body);
  }

  /**
   * Renews a lease for its full time to live. Renewals wait neither for a turn nor for a connection: a leader busy with
   * commits must not lose its lease over it.
   *
   * @returns false where the lease has expired or was revoked
   * @throws {StoreError} when nothing is known
   */
  async renewLease(leaseId: number): Promise<boolean> {
    const answer = await this.renewalConnection.sendAhead('duty', {
      operation: 'renew-lease',
      method: 'POST',
      path: `${leasePath(leaseId)}/touch`,
      body: {},
    });
    if (answer.status === 404) return false;
    if (answer.status !== 200) throw new StoreStatusError('renew-lease', answer.status);
    return true;
  }

  /**
   * Ends a lease and deletes the keys written under it at once.
   *
   * @throws {StoreConnectionError} when no answer arrives in time; the status of an answer is not looked at
   */
  async revokeLease(leaseId: number): Promise<void> {
    await this.connection.sendAhead('duty', {
      operation: 'revoke-lease',
      method: 'DELETE',
      path: leasePath(leaseId),
    });
  }
}

/**
 * Client of the state service's leases. When a lease expires or is revoked, the service deletes the keys that
 * were written under it.
 */
import { createLeaseBody, leasePath, parseLeaseId } from '../wire/state.js';
import { StoreStatusError } from './errors.js';
import type { StoreConnection } from './store-connection.js';

/** Creates, renews and revokes leases. */
export class Leases {
  /**
   * @param connection sends requests that create or revoke a lease
   * @param renewalConnection reserved for renewals, so that renewals do not wait for other requests
   */
  constructor(
    private readonly connection: Pick<StoreConnection, 'sendPaced' | 'sendImmediately'>,
    private readonly renewalConnection: Pick<StoreConnection, 'sendImmediately'>,
  ) {}

  /**
   * Creates a lease that expires unless it is renewed within `ttlMs` milliseconds.
   *
   * @returns the lease's id
   * @throws {StoreError} when it is not known whether the lease was created
   */
  async createLease(ttlMs: number): Promise<number> {
    const answer = await this.connection.sendPaced('duty', {
      operation: 'create-lease',
      method: 'POST',
      path: '/grants',
      body: createLeaseBody(ttlMs),
    });
    if (answer.status !== 200) throw new StoreStatusError('create-lease', answer.status);
    return parseLeaseId(answer.body);
  }

  /**
   * Renews a lease for its full time to live. Renewals wait neither for the pacing nor for a connection,
   * because a leader that sends many commits would otherwise lose its lease.
   *
   * @returns false if the lease has expired or was revoked
   * @throws {StoreError} when it is not known whether the lease still exists
   */
  async renewLease(leaseId: number): Promise<boolean> {
    const answer = await this.renewalConnection.sendImmediately('duty', {
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
   * Revokes a lease. The service then immediately deletes the keys that were written under the lease.
   *
   * @throws {StoreConnectionError} when no answer arrives in time; the status of an answer is ignored
   */
  async revokeLease(leaseId: number): Promise<void> {
    await this.connection.sendImmediately('duty', {
      operation: 'revoke-lease',
      method: 'DELETE',
      path: leasePath(leaseId),
    });
  }
}

import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { LeaseClaim, LeaseRecord, LeaseRelease, LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LeaseRecordSchema, LeaseStateSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogFold } from '../log-fold.js'
import type { RecordPosition } from '../record-position.js'

/**
 * Who holds each lease, as decided by the order of the records.
 *
 * A claim takes effect if the lease's last record is still the one that the claim supersedes, so a claim made
 * in ignorance of a renewal loses. The holder's own claim renews the lease and keeps its fencing number; any
 * other claim starts a new term, whose fencing number is the claim's offset. No time is folded: whether a
 * lease has ended is for its holder and its challengers to tell by their own clocks.
 */
export class LeaseFold implements LogFold {
  private readonly _leases = new Map<string, LeaseRecord>()
  private readonly _listeners = new Set<(lease: LeaseRecord) => void>()

  /**
   * Finds a lease.
   * @param lease name of the lease
   * @returns undefined if it was never held
   */
  get (lease: string): LeaseRecord | undefined {
    return this._leases.get(lease)
  }

  /**
   * Calls back after each record that took effect.
   * @param listener gets the lease as it now stands
   * @returns a function that ends the calls
   */
  onChange (listener: (lease: LeaseRecord) => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /**
   * Applies one entry; entries of other folds are ignored.
   * @param entry the entry
   * @param position where its record stands
   */
  apply (entry: LogEntry, position: RecordPosition): void {
    if (entry.kind.case === 'leaseClaim') this._applyClaim(entry.kind.value, position.offset)
    if (entry.kind.case === 'leaseRelease') this._applyRelease(entry.kind.value, position.offset)
  }

  /** Encodes the state for a checkpoint. */
  encodeState (): Uint8Array {
    return toBinary(LeaseStateSchema, create(LeaseStateSchema, { leases: [...this._leases.values()] }))
  }

  /**
   * Replaces the state by a checkpoint's.
   * @param state what encodeState gave
   */
  decodeState (state: Uint8Array): void {
    this._leases.clear()
    for (const lease of fromBinary(LeaseStateSchema, state).leases) this._leases.set(lease.lease, lease)
  }

  private _applyClaim (claim: LeaseClaim, offset: number): void {
    const known = this._leases.get(claim.lease)
    if (claim.supersedesOffset !== (known?.lastOffset ?? 0n)) return
    const renews = known !== undefined && !known.released && known.holder === claim.holder
    this._keep(create(LeaseRecordSchema, {
      lease: claim.lease,
      holder: claim.holder,
      fencingNumber: renews ? known.fencingNumber : BigInt(offset),
      lastOffset: BigInt(offset),
      durationMs: claim.durationMs
    }))
  }

  private _applyRelease (release: LeaseRelease, offset: number): void {
    const known = this._leases.get(release.lease)
    if (known === undefined || known.released) return
    if (known.holder !== release.holder || known.fencingNumber !== release.fencingNumber) return
    this._keep({ ...known, released: true, lastOffset: BigInt(offset) })
  }

  private _keep (lease: LeaseRecord): void {
    this._leases.set(lease.lease, lease)
    for (const listener of this._listeners) listener(lease)
  }
}

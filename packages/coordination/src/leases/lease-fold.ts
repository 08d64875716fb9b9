import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { LeaseClaim, LeaseRecord, LeaseRelease, LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LeaseRecordSchema, LeaseStateSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { LogFold } from '../log-fold.js'
import type { RecordPosition } from '../record-position.js'

/**
 * Holders of all leases, determined by the order of the records in the stream.
 *
 * A claim takes effect only if the last record of the lease is the one that the claim supersedes (compare and
 * swap), which rejects a claim whose author had not read the last renewal. A claim by the current holder renews
 * the lease and retains the fencing number; any other claim starts a new term, and its offset becomes the fencing
 * number. The state contains no timestamps: the holder and its challengers determine expiry by their own clocks.
 */
export class LeaseFold implements LogFold {
  private readonly _leases = new Map<string, LeaseRecord>()
  private readonly _listeners = new Set<(lease: LeaseRecord) => void>()

  /**
   * Returns a lease.
   * @param lease name of the lease
   * @returns last state of the lease, possibly released or expired; undefined if it was never held
   */
  get (lease: string): LeaseRecord | undefined {
    return this._leases.get(lease)
  }

  /**
   * Adds a listener that is called after each claim or release that takes effect.
   * @param listener receives the new state of the lease
   * @returns a function that removes the listener
   */
  onChange (listener: (lease: LeaseRecord) => void): () => void {
    this._listeners.add(listener)
    return () => this._listeners.delete(listener)
  }

  /**
   * Applies a claim or a release; other entries are ignored.
   * @param entry entry of the stream
   * @param position position of the entry's record
   */
  apply (entry: LogEntry, position: RecordPosition): void {
    if (entry.kind.case === 'leaseClaim') this._applyClaim(entry.kind.value, position.offset)
    if (entry.kind.case === 'leaseRelease') this._applyRelease(entry.kind.value, position.offset)
  }

  /** Returns the encoded state for a checkpoint. */
  encodeState (): Uint8Array {
    return toBinary(LeaseStateSchema, create(LeaseStateSchema, { leases: [...this._leases.values()] }))
  }

  /**
   * Replaces the state with that of a checkpoint.
   * @param state state encoded by `encodeState`
   */
  decodeState (state: Uint8Array): void {
    this._leases.clear()
    for (const lease of fromBinary(LeaseStateSchema, state).leases) this._leases.set(lease.lease, lease)
  }

  private _applyClaim (claim: LeaseClaim, offset: number): void {
    const known = this._leases.get(claim.lease)
    if (claim.supersedesOffset !== (known?.lastOffset ?? 0n)) return
    const isRenewal = known !== undefined && !known.released && known.holder === claim.holder
    this._store(create(LeaseRecordSchema, {
      lease: claim.lease,
      holder: claim.holder,
      fencingNumber: isRenewal ? known.fencingNumber : BigInt(offset),
      lastOffset: BigInt(offset),
      durationMs: claim.durationMs
    }))
  }

  private _applyRelease (release: LeaseRelease, offset: number): void {
    const known = this._leases.get(release.lease)
    if (known === undefined || known.released) return
    if (known.holder !== release.holder || known.fencingNumber !== release.fencingNumber) return
    this._store({ ...known, released: true, lastOffset: BigInt(offset) })
  }

  private _store (lease: LeaseRecord): void {
    this._leases.set(lease.lease, lease)
    for (const listener of this._listeners) listener(lease)
  }
}

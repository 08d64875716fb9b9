import { create } from '@bufbuild/protobuf'
import type { LeaseRecord, LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { HeldLease } from './held-lease.js'
import type { LeaseHolderOptions } from './lease-holder-options.js'

/**
 * Renewals per lease duration. The timeout of a renewal is the same fraction of the duration: one renewal may time out,
 * but the lease is lost if the next one does as well.
 */
const RENEWALS_PER_DURATION = 3
/** Minimum delay before the lease of another holder is checked again, and after a failed append. */
const MINIMUM_DELAY_MS = 10

/**
 * Claims one lease through the log and renews it.
 *
 * Mutual exclusion does not need synchronized clocks. The holder measures the duration from before it sent its
 * claim and stops before the duration has passed. A challenger measures from when it read the last claim, which
 * is later, and waits for the duration plus `pauseAllowanceMs`. Both need monotonic clocks that run at the same rate
 * and continue during a pause of the process.
 *
 * @example
 * const lease = holder.current()
 * if (lease !== undefined) await engine.order(lease.fencingNumber, order)
 */
export class LeaseHolder {
  private readonly _options: LeaseHolderOptions
  private _termCount = 0
  private _term: LeaseTerm | undefined
  /** Offset of the last record of the lease that this process has read. */
  private _readOffset: bigint | undefined
  /** Time at which it was read, on the monotonic clock in milliseconds. */
  private _readAt = 0

  /**
   * @param options lease, appender, timing and other dependencies
   */
  constructor (options: LeaseHolderOptions) {
    this._options = options
    options.fold.onChange((lease) => {
      if (lease.lease === options.lease) this._recordRead(lease)
    })
  }

  /**
   * Returns the lease if this process may act on it now, otherwise undefined. Call it again right before each action.
   */
  current (): HeldLease | undefined {
    if (this._term === undefined) return undefined
    const stopsAt = this._term.endsAt - this._options.stopMarginMs
    if (this._options.clock.now() >= stopsAt) return undefined
    return { fencingNumber: this._term.fencingNumber, stopsAt }
  }

  /**
   * Returns the lease if this process may act on it now.
   * @throws {MimosarockError} LEASE_NOT_HELD
   */
  require (): HeldLease {
    const lease = this.current()
    if (lease === undefined) throw new MimosarockError(ResultCode.LEASE_NOT_HELD, `the lease ${this._options.lease} is not held`)
    return lease
  }

  /** Ends the current term at once without a release, for example after an engine has reported a higher fencing number. */
  resign (): void {
    this._term = undefined
  }

  /**
   * Claims and renews the lease until the signal aborts. If the process stops without calling `release`, challengers
   * wait until the lease expires.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this._waitMs()
      if (waitMs > 0) await this._options.clock.sleep(waitMs, signal)
      else if (this.current() !== undefined) await this._renew()
      else if (this._options.isCandidate()) await this._claim()
      else await this._options.clock.sleep(this._renewalMs(), signal)
    }
  }

  /** Releases the lease, which lets the next holder claim it without a wait. No action under the lease may be in progress. */
  async release (): Promise<void> {
    const term = this._term
    if (term === undefined || this.current() === undefined) return
    this.resign()
    await this._append(create(LogEntrySchema, {
      kind: {
        case: 'leaseRelease',
        value: { lease: this._options.lease, holder: term.holder, fencingNumber: BigInt(term.fencingNumber) }
      }
    }))
  }

  /** Time until the next renewal, claim or check, in milliseconds; 0 or less if it is due. */
  private _waitMs (): number {
    const { clock, replica, fold, lease, durationMs, pauseAllowanceMs } = this._options
    if (!replica.started) return this._renewalMs()
    if (this._term !== undefined && this.current() !== undefined) {
      return this._term.endsAt - durationMs + this._renewalMs() - clock.now()
    }
    const known = fold.get(lease)
    if (known === undefined || known.released || this._isOwnTerm(known)) return 0
    if (known.lastOffset !== this._readOffset) this._recordRead(known)
    const remainingMs = this._readAt + known.durationMs + pauseAllowanceMs - clock.now()
    return remainingMs > 0 ? Math.max(MINIMUM_DELAY_MS, Math.min(remainingMs, this._renewalMs())) : 0
  }

  /** Starts a term. Each term has a holder name of its own, since a delayed claim of an earlier term could renew it otherwise. */
  private async _claim (): Promise<void> {
    this.resign()
    this._termCount += 1
    const holder = `${this._options.processId}/${this._termCount}`
    const term = await this._appendClaim(holder)
    if (term === undefined) return
    this._term = term
    this._options.eventLog.info('lease-won', { lease: this._options.lease, fencing_number: term.fencingNumber })
  }

  private async _renew (): Promise<void> {
    const term = this._term
    if (term === undefined) return
    const renewed = await this._appendClaim(term.holder)
    if (renewed?.fencingNumber === term.fencingNumber && this._term === term) this._term = renewed
    const known = this._options.fold.get(this._options.lease)
    if (known?.holder !== term.holder) this.resign()
  }

  /** Appends a claim or renewal. The duration of the resulting term starts before the claim is sent. */
  private async _appendClaim (holder: string): Promise<LeaseTerm | undefined> {
    const { clock, fold, lease, durationMs } = this._options
    const sentAt = clock.now()
    const offset = await this._append(create(LogEntrySchema, {
      kind: { case: 'leaseClaim', value: { lease, holder, supersedesOffset: fold.get(lease)?.lastOffset ?? 0n, durationMs } }
    }))
    const known = fold.get(lease)
    // The duration counts from sentAt only if the record of this append took effect: an earlier claim that arrived late may
    // have renewed the lease instead.
    if (offset === undefined || known?.holder !== holder || known.lastOffset !== BigInt(offset)) return undefined
    return { holder, fencingNumber: Number(known.fencingNumber), endsAt: sentAt + durationMs }
  }

  private async _append (entry: LogEntry): Promise<number | undefined> {
    const { appender, clock, eventLog, lease } = this._options
    try {
      return await appender.append(entry, this._renewalMs())
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      eventLog.warn('lease-not-appended', { lease, code: error.code })
      await clock.sleep(MINIMUM_DELAY_MS)
      return undefined
    }
  }

  /** Whether a lease belongs to an earlier term of this process; no other process acts on it, which makes a wait unnecessary. */
  private _isOwnTerm (known: LeaseRecord): boolean {
    return known.holder.startsWith(`${this._options.processId}/`)
  }

  private _renewalMs (): number {
    return this._options.durationMs / RENEWALS_PER_DURATION
  }

  private _recordRead (lease: LeaseRecord): void {
    this._readOffset = lease.lastOffset
    this._readAt = this._options.clock.now()
  }
}

interface LeaseTerm {
  readonly holder: string
  readonly fencingNumber: number
  /** Expiry of the lease, on the monotonic clock of this process in milliseconds. */
  readonly endsAt: number
}

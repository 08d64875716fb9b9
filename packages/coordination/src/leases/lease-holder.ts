import { create } from '@bufbuild/protobuf'
import type { LeaseRecord, LogEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { HeldLease } from './held-lease.js'
import type { LeaseHolderOptions } from './lease-holder-options.js'

/** Renewals in one duration; two may fail before the lease is lost. */
const RENEWALS_PER_DURATION = 3
/** Shortest pause between two looks at a lease that another holds. */
const MINIMUM_PAUSE_MS = 10

/**
 * Claims one lease through the log and renews it.
 *
 * Two clocks that are never compared keep two holders apart. The holder counts from before it sent its claim
 * and stops itself before the duration is over. A challenger counts from when it read the last claim, which is
 * later, and waits for the duration and for the longest pause of the holder. Both need clocks that run at the
 * same rate and keep counting during a pause, not clocks that agree.
 *
 * @example
 * const held = holder.current()
 * if (held !== undefined) await engine.order(held.fencingNumber, order)
 */
export class LeaseHolder {
  private readonly _options: LeaseHolderOptions
  private _terms = 0
  private _term: LeaseTerm | undefined
  /** Last record of the lease that was read, and when, on the monotonic clock. */
  private _readOffset: bigint | undefined
  private _readAt = 0

  /**
   * @param options what the holder works with
   */
  constructor (options: LeaseHolderOptions) {
    this._options = options
    options.fold.onChange((lease) => {
      if (lease.lease === options.lease) this._noteRead(lease)
    })
  }

  /**
   * The lease, if this process may act on it now. To be asked again right before each act.
   */
  current (): HeldLease | undefined {
    if (this._term === undefined) return undefined
    const stopsAt = this._term.endsAt - this._options.stopMarginMs
    if (this._options.clock.now() >= stopsAt) return undefined
    return { fencingNumber: this._term.fencingNumber, stopsAt }
  }

  /**
   * The lease.
   * @throws {MimosarockError} LEASE_NOT_HELD
   */
  require (): HeldLease {
    const held = this.current()
    if (held === undefined) throw new MimosarockError(ResultCode.LEASE_NOT_HELD, `the lease ${this._options.lease} is not held`)
    return held
  }

  /** Gives up the present term at once, for example when an engine has seen a higher fencing number. */
  resign (): void {
    this._term = undefined
  }

  /**
   * Claims and renews until the signal aborts. A process that is ended without a release is waited out.
   * @param signal ends the task
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

  /** Releases the lease, so that the next holder need not wait. No act on the lease may be under way. */
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

  /** Time until there is something to do, in milliseconds. */
  private _waitMs (): number {
    const { clock, replica, fold, lease, durationMs, pauseAllowanceMs } = this._options
    if (!replica.started) return this._renewalMs()
    if (this._term !== undefined && this.current() !== undefined) {
      return this._term.endsAt - durationMs + this._renewalMs() - clock.now()
    }
    const known = fold.get(lease)
    if (known === undefined || known.released || this._isOwn(known)) return 0
    if (known.lastOffset !== this._readOffset) this._noteRead(known)
    const restMs = this._readAt + known.durationMs + pauseAllowanceMs - clock.now()
    return restMs > 0 ? Math.max(MINIMUM_PAUSE_MS, Math.min(restMs, this._renewalMs())) : 0
  }

  /** Starts a term under a holder name of its own: a late claim of an earlier term can't renew it. */
  private async _claim (): Promise<void> {
    this.resign()
    this._terms += 1
    const holder = `${this._options.processId}/${this._terms}`
    const won = await this._appendClaim(holder)
    if (won === undefined) return
    this._term = won
    this._options.eventLog.info('lease-won', { lease: this._options.lease, fencing_number: won.fencingNumber })
  }

  private async _renew (): Promise<void> {
    const before = this._term
    if (before === undefined) return
    const renewed = await this._appendClaim(before.holder)
    if (renewed?.fencingNumber === before.fencingNumber && this._term === before) this._term = renewed
    const known = this._options.fold.get(this._options.lease)
    if (known?.holder !== before.holder) this.resign()
  }

  /** Appends a claim; the term that it makes counts from before it was sent. */
  private async _appendClaim (holder: string): Promise<LeaseTerm | undefined> {
    const { clock, fold, lease, durationMs } = this._options
    const sentAt = clock.now()
    const offset = await this._append(create(LogEntrySchema, {
      kind: { case: 'leaseClaim', value: { lease, holder, supersedesOffset: fold.get(lease)?.lastOffset ?? 0n, durationMs } }
    }))
    const known = fold.get(lease)
    // Only this very record counts from sentAt; an earlier one that arrived late was read before.
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
      await clock.sleep(MINIMUM_PAUSE_MS)
      return undefined
    }
  }

  /** An earlier term of this process: nobody else acts on it, so there is nothing to wait for. */
  private _isOwn (known: LeaseRecord): boolean {
    return known.holder.startsWith(`${this._options.processId}/`)
  }

  private _renewalMs (): number {
    return this._options.durationMs / RENEWALS_PER_DURATION
  }

  private _noteRead (lease: LeaseRecord): void {
    this._readOffset = lease.lastOffset
    this._readAt = this._options.clock.now()
  }
}

interface LeaseTerm {
  readonly holder: string
  readonly fencingNumber: number
  /** When the lease ends, on this process's monotonic clock in milliseconds. */
  readonly endsAt: number
}

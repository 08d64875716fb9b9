import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { ContentReadingOptions } from './content-reading-options.js'

/** Time for which a version is awaited, from which it is read from the store if no other router answers this one. */
const SILENT_OTHERS_READ_MS = 600
/** Time without an answer of any other router from which they count as silent; while a version is awaited, several are asked in this time. */
const OTHERS_SILENT_MS = 350
/** Time that the reader may take to receive a version, from which the router after it in the order reads it as well; the next one after twice that. */
const SLOW_READER_MS = 500
/** Number of routers that read a version while the reader is still receiving it. */
const MAXIMUM_FURTHER_READERS = 2

/**
 * Decides when a router that is not the reader reads a version of the configuration from the store itself, because it comes too late from
 * the others. While they send it in time it is not read: the store sends it uncompressed, and each call is paid for.
 */
export class ContentReading {
  private readonly _options: ContentReadingOptions
  private readonly _clock: ElapsedClock

  /**
   * @param options what it decides by
   * @param clock clock of the router
   */
  constructor (options: ContentReadingOptions, clock: ElapsedClock) {
    this._options = options
    this._clock = clock
  }

  /** Whether this router has to read the awaited version. */
  get isDue (): boolean {
    const { awaited, overdueReading } = this._options
    if (awaited.version === undefined || overdueReading.isHeldOff) return false
    return this._isSourceLate || this._isReaderLate
  }

  private get _isSourceLate (): boolean {
    const { awaited, transfer, hasHeardOthersSince } = this._options
    if (transfer.needsStore) return true
    const areOthersSilent = awaited.elapsedMs >= SILENT_OTHERS_READ_MS && !hasHeardOthersSince(this._clock.now() - OTHERS_SILENT_MS)
    return areOthersSilent && !transfer.isInTime
  }

  /** Whether the reader is still receiving the version, and this router is one of those that do not wait for it any longer. */
  private get _isReaderLate (): boolean {
    const { awaited, ownRank } = this._options
    if (awaited.isNumbered || awaited.elapsedMs < SLOW_READER_MS) return false
    const rank = ownRank()
    return rank <= MAXIMUM_FURTHER_READERS && awaited.elapsedMs >= SLOW_READER_MS * rank
  }
}

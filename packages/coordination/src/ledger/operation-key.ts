import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const UUID = /^[0-9a-f]{8}-[0-9a-f]{4}-([0-9a-f])[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}$/i
/** How far a key's time may be ahead of this router's clock. */
const MAXIMUM_AHEAD_MS = 60_000

/** An Idempotency-Key with the time that it carries. */
export class OperationKey {
  /** The key as the caller gave it; the endpoint gets the same. */
  readonly value: string
  /** When the caller made it, in milliseconds since the epoch. */
  readonly timeMs: number

  private constructor (value: string, timeMs: number) {
    this.value = value
    this.timeMs = timeMs
  }

  /**
   * Reads the key of a call. Its time is part of it: a caller that repeats a call repeats both headers.
   * @param key value of `Idempotency-Key`: a UUID
   * @param keyTime value of `Idempotency-Key-Time`, in milliseconds since the epoch; not needed with UUIDv7
   * @throws {MimosarockError} KEY_MISSING or KEY_INVALID
   */
  static parse (key: string | undefined, keyTime: string | undefined): OperationKey {
    if (key === undefined || key === '') {
      throw new MimosarockError(ResultCode.KEY_MISSING, 'calls on this route need an Idempotency-Key', { field: 'idempotency-key' })
    }
    const version = UUID.exec(key)?.[1]
    if (version === undefined) throw new MimosarockError(ResultCode.KEY_INVALID, 'an Idempotency-Key is a UUID', { field: 'idempotency-key' })
    if (version === '7') return new OperationKey(key, Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16))
    if (keyTime === undefined || !/^\d{1,15}$/.test(keyTime)) {
      throw new MimosarockError(ResultCode.KEY_INVALID, 'a key that is no UUIDv7 needs Idempotency-Key-Time in milliseconds', { field: 'idempotency-key-time' })
    }
    return new OperationKey(key, Number(keyTime))
  }

  /**
   * Refuses a key outside the window.
   * @param wallNow this router's wall clock, in milliseconds since the epoch
   * @param windowMs age up to which keys are taken, in milliseconds
   * @throws {MimosarockError} KEY_TOO_OLD or KEY_IN_FUTURE; the call did not run
   */
  checkAge (wallNow: number, windowMs: number): void {
    if (this.timeMs < wallNow - windowMs) {
      throw new MimosarockError(ResultCode.KEY_TOO_OLD, 'the Idempotency-Key is older than the ledger\'s window', { field: 'idempotency-key' })
    }
    if (this.timeMs > wallNow + MAXIMUM_AHEAD_MS) {
      throw new MimosarockError(ResultCode.KEY_IN_FUTURE, 'the Idempotency-Key\'s time is in the future', { field: 'idempotency-key' })
    }
  }
}

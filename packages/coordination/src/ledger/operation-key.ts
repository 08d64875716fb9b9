import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const UUID = /^[0-9a-f]{8}-[0-9a-f]{4}-([0-9a-f])[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}$/i
/** Maximum time by which a key may be ahead of the clock of this router. */
const MAXIMUM_AHEAD_MS = 60_000

/** An Idempotency-Key and its creation time. */
export class OperationKey {
  /** Key as sent by the caller; forwarded to the endpoint unchanged. */
  readonly value: string
  /** Time at which the caller created the key, in milliseconds since the epoch. */
  readonly timeMs: number

  private constructor (value: string, timeMs: number) {
    this.value = value
    this.timeMs = timeMs
  }

  /**
   * Parses the key of a call. The time is part of the key: a caller that retries a call has to repeat both headers.
   * @param key value of the `Idempotency-Key` header, a UUID
   * @param keyTime value of the `Idempotency-Key-Time` header, in milliseconds since the epoch; not needed for a UUIDv7
   * @throws {MimosarockError} KEY_MISSING or KEY_INVALID
   */
  static parse (key: string | undefined, keyTime: string | undefined): OperationKey {
    if (key === undefined || key === '') {
      throw new MimosarockError(ResultCode.KEY_MISSING, 'calls on this route require an Idempotency-Key', { field: 'idempotency-key' })
    }
    const version = UUID.exec(key)?.[1]
    if (version === undefined) throw new MimosarockError(ResultCode.KEY_INVALID, 'the Idempotency-Key must be a UUID', { field: 'idempotency-key' })
    if (version === '7') return new OperationKey(key, Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16))
    if (keyTime === undefined || !/^\d{1,15}$/.test(keyTime)) {
      throw new MimosarockError(ResultCode.KEY_INVALID, 'an Idempotency-Key other than a UUIDv7 requires Idempotency-Key-Time in milliseconds', { field: 'idempotency-key-time' })
    }
    return new OperationKey(key, Number(keyTime))
  }

  /**
   * Rejects a key whose creation time is outside the accepted window.
   * @param wallNow wall clock of this router, in milliseconds since the epoch
   * @param windowMs maximum age of accepted keys, in milliseconds
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

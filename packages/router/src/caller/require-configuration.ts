import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const RETRY_AFTER_MS = 1_000

/**
 * Returns the current configuration.
 * @param source has no configuration until the first one is loaded
 * @throws {MimosarockError} CONFIGURATION_NOT_LOADED if there is none yet; the caller may retry
 */
export function requireConfiguration (source: ConfigurationSource): ConfigurationIndex {
  const index = source.current()
  if (index !== undefined) return index
  throw new MimosarockError(ResultCode.CONFIGURATION_NOT_LOADED, 'this router has no configuration yet', { retryAfterMs: RETRY_AFTER_MS })
}

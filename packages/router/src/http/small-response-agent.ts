import { DEFAULT_HEAD_LIMITS } from '@mimosarock/coordination/http/default-head-limits.js'
import { guardedConnector } from '@mimosarock/coordination/http/guarded-connector.js'
import { Agent } from 'undici'

/** Connect timeout; calls have shorter ones for the whole. */
const CONNECT_TIMEOUT_MS = 10_000
/** Maximum length of a response with its head. */
const MAXIMUM_RESPONSE_BYTES = 2_097_152

/** Connections for calls whose responses are small and which each open one of their own. */
export const SMALL_RESPONSE_AGENT = new Agent({ connect: guardedConnector(CONNECT_TIMEOUT_MS, { ...DEFAULT_HEAD_LIMITS, responseBytes: MAXIMUM_RESPONSE_BYTES }) })

import type { KeyedResponse } from './keyed-response.js'

/**
 * Sends a call to an endpoint and reads the complete response. May try several endpoints as long as each failed attempt
 * is known not to have run. Throws a `MimosarockError` with run state `not-run` only if no byte of the call has reached
 * or will reach an endpoint; any other error means that the run state is `unknown`.
 */
export type KeyedDispatch = (signal: AbortSignal) => Promise<KeyedResponse>

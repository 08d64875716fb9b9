import type { KeyedAnswer } from './keyed-answer.js'

/**
 * Sends a call to an endpoint and reads its whole answer. May try several endpoints as long as each try was
 * proved not run. Throws a MimosarockError whose run state is `not-run` only if no byte of the call has
 * reached or will reach an endpoint; everything else counts as `unknown`.
 */
export type KeyedDispatch = (signal: AbortSignal) => Promise<KeyedAnswer>

import type { ResponseLimits } from './response-limits.js'

/** Limits of the heads and trailers of a response. */
export const DEFAULT_HEAD_LIMITS: Pick<ResponseLimits, 'headBytes' | 'headLines'> = { headBytes: 65_536, headLines: 256 }

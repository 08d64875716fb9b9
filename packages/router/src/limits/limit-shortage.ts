import type { ResultCode } from '@mimosarock/schema/result-code.js'

/** Result code of the workspace limit that is exhausted: its request rate or its concurrency. */
export type LimitShortage = typeof ResultCode.RATE_LIMITED | typeof ResultCode.CONCURRENCY_LIMITED

import type { ResultCode } from '@mimosarock/schema/result-code.js'

/** Which limit of a workspace is reached. */
export type LimitShortage = typeof ResultCode.RATE_LIMITED | typeof ResultCode.CONCURRENCY_LIMITED

import { z } from 'zod'
import type { LoadReport } from './load-report.js'

const count = z.number().min(0)
const Report = z.object({
  running: count,
  waiting: count.default(0),
  capacity: count.default(0),
  cached_tokens: count.default(0),
  cache_limit_tokens: count.default(0)
})

/**
 * Validates the body of a load report.
 * @param body parsed JSON body of the endpoint's response
 * @param receivedAt time at which the response was received, in monotonic milliseconds
 * @returns undefined if the body is not a valid load report
 */
export function readLoadReport (body: unknown, receivedAt: number): LoadReport | undefined {
  const report = Report.safeParse(body)
  if (!report.success) return undefined
  const { running, waiting, capacity, cached_tokens: cachedTokens, cache_limit_tokens: cacheLimitTokens } = report.data
  return { running, waiting, capacity, cachedTokens, cacheLimitTokens, receivedAt }
}

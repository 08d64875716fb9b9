import { z } from 'zod'

const sequence = z.number().int().min(0)

/** Schema of one page of an engine's cache event feed. */
const CacheEventPage = z.object({
  /** Sequence number of the oldest event that the engine still has. */
  oldest: sequence,
  /** Sequence number of the newest event that the engine has published. */
  newest: sequence,
  events: z.array(z.object({
    sequence,
    kind: z.enum(['stored', 'evicted', 'cleared']),
    cache_key: z.string(),
    tokens: z.number().min(0)
  }))
})

/** One page of an engine's cache event feed. */
type CacheEventPage = z.infer<typeof CacheEventPage>

export { CacheEventPage }

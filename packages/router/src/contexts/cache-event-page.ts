import { z } from 'zod'

const sequence = z.number().int().min(0)

/** One answer of an engine's cache event feed. */
const CacheEventPage = z.object({
  /** Oldest sequence that the engine keeps. */
  oldest: sequence,
  /** Newest sequence that it shows. */
  newest: sequence,
  events: z.array(z.object({
    sequence,
    kind: z.enum(['stored', 'evicted', 'cleared']),
    cache_key: z.string(),
    tokens: z.number().min(0)
  }))
})

/** One answer of an engine's cache event feed. */
type CacheEventPage = z.infer<typeof CacheEventPage>

export { CacheEventPage }

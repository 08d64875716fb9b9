import type { Clock } from '../clock.js'
import type { VmEntry } from '../vm-entry.js'

/** Options of a test router. */
export interface TestRouterOptions {
  readonly id: string
  readonly seeds?: readonly string[]
  readonly zone?: string
  readonly vmEntries?: () => readonly VmEntry[]
  readonly heartbeatMs?: number
  readonly suspicionMs?: number
  readonly clock?: Clock
  /** Maps the listening address to the address advertised to peers, for example that of a relay. */
  readonly advertisedAddress?: (address: string) => string | Promise<string>
}

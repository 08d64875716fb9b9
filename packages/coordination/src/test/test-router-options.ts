import type { Clock } from '../clock.js'
import type { VmEntry } from '../vm-entry.js'

/** Settings of one test router. */
export interface TestRouterOptions {
  readonly id: string
  readonly seeds?: readonly string[]
  readonly zone?: string
  readonly listed?: () => readonly VmEntry[]
  readonly heartbeatMs?: number
  readonly suspicionMs?: number
  readonly clock?: Clock
  /** Address that the others are told; a relay's, for example. */
  readonly toldAddress?: (address: string) => string | Promise<string>
}

import type { CallerLimits } from './caller-limits.js'
import type { Route } from './route.js'
import type { Service } from './service.js'
import type { Workspace } from './workspace.js'

/** One complete, accepted version of the configuration. */
export interface GatewayConfiguration {
  /** Version number; a higher version replaces a lower one. */
  readonly version: number
  /** All routes. */
  readonly routes: readonly Route[]
  /** All services. */
  readonly services: readonly Service[]
  /** Limits for callers; undefined for the defaults. */
  readonly limits: CallerLimits | undefined
  /** All workspaces; undefined if requests need no API key. */
  readonly workspaces: readonly Workspace[] | undefined
}

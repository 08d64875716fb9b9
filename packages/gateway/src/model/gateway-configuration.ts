import type { CallerLimits } from './caller-limits.js'
import type { Route } from './route.js'
import type { Service } from './service.js'
import type { Workspace } from './workspace.js'

/** One accepted version of the configuration, whole. */
export interface GatewayConfiguration {
  /** Version; a higher one replaces a lower one. */
  readonly version: number
  /** All routes. */
  readonly routes: readonly Route[]
  /** All services. */
  readonly services: readonly Service[]
  /** Bounds on what callers send; undefined where the defaults hold. */
  readonly limits: CallerLimits | undefined
  /** Workspaces; undefined if requests carry no keys. */
  readonly workspaces: readonly Workspace[] | undefined
}

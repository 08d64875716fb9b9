import type { CallerLimits } from '../model/caller-limits.js'
import type { Route } from '../model/route.js'
import type { Service } from '../model/service.js'
import type { Workspace } from '../model/workspace.js'
import type { ListPatch } from './list-patch.js'

/** What leads from one version of the configuration to the next one that was taken. */
export interface ConfigurationPatch {
  /** Version that it changes. */
  readonly from: number
  /** Version that it leads to. */
  readonly to: number
  /** Changed routes. */
  readonly routes: ListPatch<Route>
  /** Changed services. */
  readonly services: ListPatch<Service>
  /** Changed workspaces; undefined if the new version has no keys at all. */
  readonly workspaces: ListPatch<Workspace> | undefined
  /** Bounds on what callers send, as they are now. */
  readonly limits: CallerLimits | undefined
}

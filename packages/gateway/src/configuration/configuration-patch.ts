import type { CallerLimits } from '../model/caller-limits.js'
import type { Route } from '../model/route.js'
import type { Service } from '../model/service.js'
import type { Workspace } from '../model/workspace.js'
import type { ListPatch } from './list-patch.js'

/** Difference between two consecutively adopted versions of the configuration. */
export interface ConfigurationPatch {
  /** Version that the patch is based on. */
  readonly from: number
  /** Version that the patch results in. */
  readonly to: number
  /** Changed routes. */
  readonly routes: ListPatch<Route>
  /** Changed services. */
  readonly services: ListPatch<Service>
  /** Changed workspaces; undefined if the new version defines none, in which case requests need no API key. */
  readonly workspaces: ListPatch<Workspace> | undefined
  /** Limits for callers in the new version; always given in full. */
  readonly limits: CallerLimits | undefined
}

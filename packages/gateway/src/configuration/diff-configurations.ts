import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { ConfigurationPatch } from './configuration-patch.js'
import type { ListPatch } from './list-patch.js'

/** An item with a name that is unique in its list. */
interface Named {
  readonly name: string
}

/**
 * Returns the patch from one version to another.
 * @param older base version of the patch
 * @param newer version that the patch results in
 */
export function diffConfigurations (older: GatewayConfiguration, newer: GatewayConfiguration): ConfigurationPatch {
  return {
    from: older.version,
    to: newer.version,
    routes: diffLists(older.routes, newer.routes),
    services: diffLists(older.services, newer.services),
    workspaces: newer.workspaces === undefined ? undefined : diffLists(older.workspaces ?? [], newer.workspaces),
    limits: newer.limits
  }
}

function diffLists<Item extends Named> (older: readonly Item[], newer: readonly Item[]): ListPatch<Item> {
  const olderItems = new Map(older.map((item) => [item.name, JSON.stringify(item)]))
  const changed = newer.filter((item) => olderItems.get(item.name) !== JSON.stringify(item))
  const names = new Set(newer.map(({ name }) => name))
  return { changed, removed: [...olderItems.keys()].filter((name) => !names.has(name)) }
}

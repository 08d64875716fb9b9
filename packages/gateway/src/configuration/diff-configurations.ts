import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { ConfigurationPatch } from './configuration-patch.js'
import type { ListPatch } from './list-patch.js'

/** A thing that has a name of its own in its list. */
interface Named {
  readonly name: string
}

/**
 * What leads from one version to another.
 * @param older the version that is changed
 * @param newer the version after it
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
  const before = new Map(older.map((item) => [item.name, JSON.stringify(item)]))
  const changed = newer.filter((item) => before.get(item.name) !== JSON.stringify(item))
  const names = new Set(newer.map(({ name }) => name))
  return { changed, removed: [...before.keys()].filter((name) => !names.has(name)) }
}

import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { ConfigurationPatch } from './configuration-patch.js'
import type { ListPatch } from './list-patch.js'

/**
 * Applies a patch to a configuration.
 * @param configuration version that the patch is based on
 * @param patch changes to apply
 * @returns the new version; the given one is not modified
 */
export function applyPatch (configuration: GatewayConfiguration, patch: ConfigurationPatch): GatewayConfiguration {
  return {
    version: patch.to,
    routes: patchList(configuration.routes, patch.routes),
    services: patchList(configuration.services, patch.services),
    workspaces: patch.workspaces === undefined ? undefined : patchList(configuration.workspaces ?? [], patch.workspaces),
    limits: patch.limits
  }
}

function patchList<Item extends { readonly name: string }> (items: readonly Item[], { changed, removed }: ListPatch<Item>): Item[] {
  const patched = new Map(items.map((item) => [item.name, item]))
  for (const name of removed) patched.delete(name)
  for (const item of changed) patched.set(item.name, item)
  return [...patched.values()]
}

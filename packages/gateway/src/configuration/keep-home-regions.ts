import type { GatewayConfiguration } from '../model/gateway-configuration.js'

/** A route or workspace, as far as its home regions are concerned. */
interface WithHomeRegions {
  readonly name: string
  readonly homeRegions?: readonly string[] | undefined
  readonly hasInvalidHomeRegions?: boolean | undefined
}

/**
 * Replaces malformed lists of home regions by the last valid ones of the same route or workspace. A list that was replaced
 * before, for example by the router that sent the configuration, stays as it is.
 * @param next configuration to put in force
 * @param previous configuration in force; undefined if there is none
 * @returns the given configuration if no list has to be replaced
 */
export function keepHomeRegions (next: GatewayConfiguration, previous: GatewayConfiguration | undefined): GatewayConfiguration {
  const { routes, workspaces } = next
  if (previous === undefined || ![...routes, ...workspaces ?? []].some(lacksList)) return next
  return {
    ...next,
    routes: keepLists(routes, previous.routes),
    workspaces: workspaces === undefined ? undefined : keepLists(workspaces, previous.workspaces ?? [])
  }
}

function lacksList ({ homeRegions, hasInvalidHomeRegions }: WithHomeRegions): boolean {
  return hasInvalidHomeRegions === true && homeRegions?.length === 0
}

function keepLists<Item extends WithHomeRegions> (items: readonly Item[], previous: readonly Item[]): Item[] {
  return items.map((item) => {
    if (!lacksList(item)) return item
    const known = previous.filter(({ name }) => name === item.name)
    // A name that is not unique does not tell which list is meant.
    const kept = known.length === 1 ? known[0]?.homeRegions : undefined
    return kept === undefined ? item : { ...item, homeRegions: kept }
  })
}

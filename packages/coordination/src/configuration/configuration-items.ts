import { create } from '@bufbuild/protobuf'
import type {
  Configuration, ConfigurationEdit, Pool, Retirement, RetirementRule, Route, Workspace
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { retirementName } from './retirement-name.js'

function byName<Item extends { readonly name: string }> (items: readonly Item[]): Map<string, Item> {
  return new Map(items.map((item) => [item.name, item]))
}

function sortedByName<Item> (items: ReadonlyMap<string, Item>): Item[] {
  const compare = ([left]: [string, Item], [right]: [string, Item]): number => left < right ? -1 : 1
  return [...items.entries()].sort(compare).map(([, item]) => item)
}

/** A configuration as maps from names to items (workspaces, pools, routes, ...), for editing and comparing. */
export class ConfigurationItems {
  readonly workspaces: Map<string, Workspace>
  readonly pools: Map<string, Pool>
  readonly routes: Map<string, Route>
  readonly retirementRules: Map<string, RetirementRule>
  readonly retirements: Map<string, Retirement>

  /**
   * @param configuration configuration to index; its items are shared, not copied
   */
  constructor (configuration: Configuration) {
    this.workspaces = byName(configuration.workspaces)
    this.pools = byName(configuration.pools)
    this.routes = byName(configuration.routes)
    this.retirementRules = byName(configuration.retirementRules)
    this.retirements = new Map(configuration.retirements.map((retirement) => [retirementName(retirement), retirement]))
  }

  /** Returns the items as a configuration whose lists are sorted by name. */
  toConfiguration (): Configuration {
    return create(ConfigurationSchema, {
      workspaces: sortedByName(this.workspaces),
      pools: sortedByName(this.pools),
      routes: sortedByName(this.routes),
      retirementRules: sortedByName(this.retirementRules),
      retirements: sortedByName(this.retirements)
    })
  }

  /**
   * Sets or removes one item.
   * @param edit edit to apply; `replaceAll` is not supported
   * @returns false if the item to remove does not exist, or if the edit is empty or not supported
   */
  apply (edit: ConfigurationEdit['kind']): boolean {
    switch (edit.case) {
      case 'setWorkspace': this.workspaces.set(edit.value.name, edit.value); return true
      case 'setPool': this.pools.set(edit.value.name, edit.value); return true
      case 'setRoute': this.routes.set(edit.value.name, edit.value); return true
      case 'setRetirementRule': this.retirementRules.set(edit.value.name, edit.value); return true
      case 'setRetirement': this.retirements.set(retirementName(edit.value), edit.value); return true
      case 'removeWorkspace': return this.workspaces.delete(edit.value)
      case 'removePool': return this.pools.delete(edit.value)
      case 'removeRoute': return this.routes.delete(edit.value)
      case 'removeRetirementRule': return this.retirementRules.delete(edit.value)
      case 'removeRetirement': return this.retirements.delete(retirementName(edit.value))
      default: return false
    }
  }
}

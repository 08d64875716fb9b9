import { create } from '@bufbuild/protobuf'
import type {
  Configuration, ConfigurationEdit, Pool, Retirement, RetirementRule, Route, Workspace
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { retirementName } from './retirement-name.js'

function byName<Part extends { readonly name: string }> (parts: readonly Part[]): Map<string, Part> {
  return new Map(parts.map((part) => [part.name, part]))
}

function sorted<Part> (parts: ReadonlyMap<string, Part>): Part[] {
  const compare = ([left]: [string, Part], [right]: [string, Part]): number => left < right ? -1 : 1
  return [...parts.entries()].sort(compare).map(([, part]) => part)
}

/** A configuration as maps of named parts, for editing and comparing. */
export class ConfigurationParts {
  readonly workspaces: Map<string, Workspace>
  readonly pools: Map<string, Pool>
  readonly routes: Map<string, Route>
  readonly retirementRules: Map<string, RetirementRule>
  readonly retirements: Map<string, Retirement>

  /**
   * @param configuration the configuration; its parts are taken over, not copied
   */
  constructor (configuration: Configuration) {
    this.workspaces = byName(configuration.workspaces)
    this.pools = byName(configuration.pools)
    this.routes = byName(configuration.routes)
    this.retirementRules = byName(configuration.retirementRules)
    this.retirements = new Map(configuration.retirements.map((retirement) => [retirementName(retirement), retirement]))
  }

  /** The parts as a configuration whose lists are sorted by name. */
  toConfiguration (): Configuration {
    return create(ConfigurationSchema, {
      workspaces: sorted(this.workspaces),
      pools: sorted(this.pools),
      routes: sorted(this.routes),
      retirementRules: sorted(this.retirementRules),
      retirements: sorted(this.retirements)
    })
  }

  /**
   * Sets or removes one part.
   * @param edit the edit; replacing everything is not one of these
   * @returns false if there was nothing to remove or the edit is empty
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

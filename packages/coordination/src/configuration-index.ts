import type { Configuration, Pool, RetirementRule, Route, Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** One revision of the configuration, indexed by the names of its items. */
export class ConfigurationIndex {
  /** Complete configuration of the revision. */
  readonly configuration: Configuration
  /** Revision number; the first accepted change creates revision 1. */
  readonly revision: number
  /** Offset of the record that created the revision. */
  readonly offset: number
  readonly workspaces: ReadonlyMap<string, Workspace>
  readonly pools: ReadonlyMap<string, Pool>
  /** Routes by name. */
  readonly routes: ReadonlyMap<string, Route>
  /** Routes that have a model, by model; the model of a service route is its path prefix. */
  readonly routesByModel: ReadonlyMap<string, Route>
  /** Retirement rules by the name of their pool. */
  readonly retirementRulesByPool: ReadonlyMap<string, RetirementRule>
  private readonly _retired: ReadonlySet<string>

  /**
   * @param configuration complete configuration of the revision
   * @param revision revision number
   * @param offset offset of the record that created the revision
   */
  constructor (configuration: Configuration, revision: number, offset: number) {
    this.configuration = configuration
    this.revision = revision
    this.offset = offset
    this.workspaces = new Map(configuration.workspaces.map((workspace) => [workspace.name, workspace]))
    this.pools = new Map(configuration.pools.map((pool) => [pool.name, pool]))
    this.routes = new Map(configuration.routes.map((route) => [route.name, route]))
    this.routesByModel = new Map(configuration.routes.filter((route) => route.model !== '').map((route) => [route.model, route]))
    this.retirementRulesByPool = new Map(configuration.retirementRules.map((rule) => [rule.pool, rule]))
    this._retired = new Set(configuration.retirements.map((retirement) => `${retirement.pool}/${retirement.endpoint}`))
  }

  /**
   * Returns whether an operator has retired the endpoint.
   * @param pool name of the endpoint's pool
   * @param endpoint name of the endpoint within the pool
   */
  isRetired (pool: string, endpoint: string): boolean {
    return this._retired.has(`${pool}/${endpoint}`)
  }
}

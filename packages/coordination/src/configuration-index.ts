import type { Configuration, Pool, RetirementRule, Route, Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** One revision of the configuration, with its parts found by name. */
export class ConfigurationIndex {
  /** The whole configuration. */
  readonly configuration: Configuration
  /** Number of the revision; the first accepted change makes revision 1. */
  readonly revision: number
  /** Offset of the record that made it. */
  readonly offset: number
  readonly workspaces: ReadonlyMap<string, Workspace>
  readonly pools: ReadonlyMap<string, Pool>
  /** Routes by their names. */
  readonly routes: ReadonlyMap<string, Route>
  /** Routes of chats by model. */
  readonly routesByModel: ReadonlyMap<string, Route>
  /** Retirement rules by pool. */
  readonly retirementRulesByPool: ReadonlyMap<string, RetirementRule>
  private readonly _retired: ReadonlySet<string>

  /**
   * @param configuration the whole configuration
   * @param revision number of the revision
   * @param offset offset of the record that made it
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
   * Whether an operator retires the endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  isRetired (pool: string, endpoint: string): boolean {
    return this._retired.has(`${pool}/${endpoint}`)
  }
}

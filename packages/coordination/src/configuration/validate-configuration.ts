import type {
  Configuration, FieldProblem, Pool, Retirement, RetirementRule, Route, Workspace
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ProblemList } from './problem-list.js'
import { validatePool } from './validate-pool.js'

const MAXIMUM_REQUESTS_PER_SECOND = 1_000_000
const MAXIMUM_CONCURRENCY = 1_000_000
const MAXIMUM_PRIORITY = 9
const MAXIMUM_WEIGHT = 1_000
const MAXIMUM_DEADLINE_MS = 86_400_000
const MAXIMUM_DRAIN_MS = 3_600_000
const MAXIMUM_REASON_LENGTH = 500
const MAXIMUM_MODEL_LENGTH = 128
const MAXIMUM_PATH_LENGTH = 1_024

type Pools = ReadonlyMap<string, Pool>

function validateWorkspace (problems: ProblemList, workspace: Workspace, models: ReadonlySet<string>): void {
  const path = `workspaces[${workspace.name}]`
  problems.checkName(`${path}.name`, workspace.name)
  problems.checkRange(`${path}.requests_per_second`, workspace.requestsPerSecond, 0, MAXIMUM_REQUESTS_PER_SECOND)
  problems.checkRange(`${path}.concurrency`, workspace.concurrency, 0, MAXIMUM_CONCURRENCY)
  problems.checkRange(`${path}.priority`, workspace.priority, 0, MAXIMUM_PRIORITY)
  problems.checkRange(`${path}.weight`, workspace.weight, 0, MAXIMUM_WEIGHT)
  for (const model of workspace.models) {
    problems.checkReference(`${path}.models`, model, models.has(model), 'route\'s model')
  }
}

function validateModelRoute (problems: ProblemList, path: string, route: Route, pool: Pool, models: Set<string>): void {
  problems.checkLength(`${path}.model`, route.model, 1, MAXIMUM_MODEL_LENGTH)
  problems.checkUnique(`${path}.model`, route.model, models)
  if (pool.models.length === 0) return
  const isServed = pool.models.some((placement) => placement.model === route.model)
  problems.checkReference(`${path}.model`, route.model, isServed, `model of pool ${pool.name}`)
}

function validateServiceRoute (problems: ProblemList, path: string, route: Route): void {
  if (route.model !== '' && !route.model.startsWith('/')) {
    problems.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, `${path}.model`, route.model, 'empty or a path prefix that starts with /')
  }
  problems.checkLength(`${path}.model`, route.model, 0, MAXIMUM_PATH_LENGTH)
}

function validateRoute (problems: ProblemList, route: Route, pools: Pools, models: Set<string>): void {
  const path = `routes[${route.name}]`
  problems.checkName(`${path}.name`, route.name)
  problems.checkRange(`${path}.deadline_ms`, route.deadlineMs, 1, MAXIMUM_DEADLINE_MS)
  const pool = pools.get(route.pool)
  problems.checkReference(`${path}.pool`, route.pool, pool !== undefined, 'pool')
  if (pool?.kind === PoolKind.MODEL) validateModelRoute(problems, path, route, pool, models)
  if (pool?.kind === PoolKind.SERVICE) validateServiceRoute(problems, path, route)
  const isStatusPathValid = route.statusPath.startsWith('/') && route.statusPath.includes('{key}')
  if (route.statusPath !== '' && !isStatusPathValid) {
    problems.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, `${path}.status_path`, route.statusPath, 'empty or a path that starts with / and contains {key}')
  }
}

function validateRetirementRule (problems: ProblemList, rule: RetirementRule, pools: Pools, poolsWithRule: Set<string>): void {
  const path = `retirement_rules[${rule.name}]`
  problems.checkName(`${path}.name`, rule.name)
  problems.checkRange(`${path}.drain_ms`, rule.drainMs, 0, MAXIMUM_DRAIN_MS)
  problems.checkUnique(`${path}.pool`, rule.pool, poolsWithRule)
  const pool = pools.get(rule.pool)
  problems.checkReference(`${path}.pool`, rule.pool, pool !== undefined, 'pool')
  if (pool === undefined) return
  const otherEndpoints = Math.max(0, pool.endpoints.length - 1)
  problems.checkRange(`${path}.minimum_live_endpoints`, rule.minimumLiveEndpoints, 0, otherEndpoints)
}

function validateRetirement (problems: ProblemList, retirement: Retirement, pools: Pools, retired: Set<string>): void {
  const name = `${retirement.pool}/${retirement.endpoint}`
  const path = `retirements[${name}]`
  problems.checkUnique(path, name, retired)
  problems.checkLength(`${path}.reason`, retirement.reason, 0, MAXIMUM_REASON_LENGTH)
  const pool = pools.get(retirement.pool)
  problems.checkReference(`${path}.pool`, retirement.pool, pool !== undefined, 'pool')
  if (pool === undefined) return
  const exists = pool.endpoints.some((endpoint) => endpoint.name === retirement.endpoint)
  problems.checkReference(`${path}.endpoint`, retirement.endpoint, exists, `endpoint of pool ${pool.name}`)
}

function checkNamesUnique (problems: ProblemList, list: string, items: ReadonlyArray<{ readonly name: string }>): void {
  const names = new Set<string>()
  for (const item of items) problems.checkUnique(`${list}[${item.name}].name`, item.name, names)
}

/**
 * Validates a complete configuration. Commands use it before they append a change and the fold before it accepts
 * one, which ensures that both always agree.
 * @param configuration configuration to validate
 * @returns problems found; empty if the configuration is valid
 */
export function validateConfiguration (configuration: Configuration): readonly FieldProblem[] {
  const problems = new ProblemList()
  const pools = new Map(configuration.pools.map((pool) => [pool.name, pool]))
  const models = new Set<string>()
  const addresses = new Set<string>()
  const poolsWithRule = new Set<string>()
  const retired = new Set<string>()
  checkNamesUnique(problems, 'workspaces', configuration.workspaces)
  checkNamesUnique(problems, 'pools', configuration.pools)
  checkNamesUnique(problems, 'routes', configuration.routes)
  checkNamesUnique(problems, 'retirement_rules', configuration.retirementRules)
  for (const pool of configuration.pools) validatePool(problems, pool, addresses)
  for (const route of configuration.routes) validateRoute(problems, route, pools, models)
  for (const rule of configuration.retirementRules) validateRetirementRule(problems, rule, pools, poolsWithRule)
  for (const retirement of configuration.retirements) validateRetirement(problems, retirement, pools, retired)
  for (const workspace of configuration.workspaces) validateWorkspace(problems, workspace, models)
  return problems.problems
}

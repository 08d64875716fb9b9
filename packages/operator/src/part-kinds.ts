import { create, toJson } from '@bufbuild/protobuf'
import {
  PlacementGoal, PoolKind, PoolSchema, RetirementRuleSchema, RetirementSchema, RouteSchema, WorkspaceSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { PartKind } from './part-kind.js'

const ANY = 'any'
const NO_LIMIT = 'none'
const formatEnumName = (text: string | undefined): string => (text ?? '').toLowerCase()
const formatLimit = (value: number): string => value === 0 ? NO_LIMIT : String(value)
const formatBoolean = (value: boolean): string => value ? 'yes' : 'no'

/** Kinds of named configuration parts, by the first word of their commands. */
export const PART_KINDS: Readonly<Record<string, PartKind>> = {
  workspace: {
    headers: ['WORKSPACE', 'REQUESTS/S', 'CONCURRENCY', 'PRIORITY', 'WEIGHT', 'MODELS'],
    rows: ({ workspaces }) => workspaces.map((part) => [part.name, formatLimit(part.requestsPerSecond), formatLimit(part.concurrency),
      String(part.priority), String(part.weight || 1), part.models.join(',') || ANY]),
    json: ({ workspaces }) => workspaces.map((part) => toJson(WorkspaceSchema, part)),
    remove: (value) => ({ case: 'removeWorkspace', value })
  },
  pool: {
    headers: ['POOL', 'KIND', 'ENDPOINTS', 'CAPACITY', 'MULTIPLE', 'GOAL', 'QUEUE MS', 'MODELS'],
    rows: ({ pools }) => pools.map((part) => [part.name, formatEnumName(PoolKind[part.kind]), String(part.endpoints.length),
      String(part.endpoints.reduce((sum, endpoint) => sum + endpoint.capacity, 0)), String(part.loadMultiple),
      formatEnumName(PlacementGoal[part.goal]), String(part.queueWaitMs), part.models.map((placement) => placement.model).join(',')]),
    json: ({ pools }) => pools.map((part) => toJson(PoolSchema, part)),
    remove: (value) => ({ case: 'removePool', value })
  },
  route: {
    headers: ['ROUTE', 'MODEL OR PATH', 'POOL', 'REPEATABLE', 'DEADLINE MS', 'STATUS PATH'],
    rows: ({ routes }) => routes.map((part) => [part.name, part.model, part.pool, formatBoolean(part.repeatable),
      String(part.deadlineMs), part.statusPath]),
    json: ({ routes }) => routes.map((part) => toJson(RouteSchema, part)),
    remove: (value) => ({ case: 'removeRoute', value })
  },
  'retirement-rule': {
    headers: ['RULE', 'POOL', 'DRAIN MS', 'MINIMUM LIVE', 'EXPORT CONTEXT'],
    rows: ({ retirementRules }) => retirementRules.map((part) => [part.name, part.pool, String(part.drainMs),
      String(part.minimumLiveEndpoints), formatBoolean(part.exportContext)]),
    json: ({ retirementRules }) => retirementRules.map((part) => toJson(RetirementRuleSchema, part)),
    remove: (value) => ({ case: 'removeRetirementRule', value })
  },
  retirement: {
    headers: ['ENDPOINT', 'REASON'],
    rows: ({ retirements }) => retirements.map((part) => [`${part.pool}/${part.endpoint}`, part.reason]),
    json: ({ retirements }) => retirements.map((part) => toJson(RetirementSchema, part)),
    remove: (name) => {
      const [pool = '', endpoint = ''] = name.split('/')
      return { case: 'removeRetirement', value: create(RetirementSchema, { pool, endpoint }) }
    }
  }
}

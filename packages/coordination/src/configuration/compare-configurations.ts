import type { DescMessage, Message, MessageInitShape } from '@bufbuild/protobuf'
import { create, equals, toJsonString } from '@bufbuild/protobuf'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  ConfigurationEditSchema, PoolSchema, RetirementRuleSchema, RetirementSchema, RouteSchema, WorkspaceSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationParts } from './configuration-parts.js'
import type { PartChange } from './part-change.js'

type EditKind = NonNullable<MessageInitShape<typeof ConfigurationEditSchema>['kind']>

function compareParts<Part extends Message> (
  noun: string,
  schema: DescMessage,
  before: ReadonlyMap<string, Part>,
  after: ReadonlyMap<string, Part>,
  set: (part: Part) => EditKind,
  remove: (name: string, part: Part) => EditKind
): PartChange[] {
  const changes: PartChange[] = []
  const note = (name: string, old: Part | undefined, current: Part | undefined): void => {
    // Unchanged parts are mostly the same objects, which spares the deep comparison of 19,000 workspaces.
    if (old === current) return
    if (old !== undefined && current !== undefined && equals(schema, old, current)) return
    const undo = old !== undefined ? set(old) : remove(name, current as Part)
    changes.push({
      subject: `${noun}/${name}`,
      before: old === undefined ? '' : toJsonString(schema, old, { useProtoFieldName: true }),
      after: current === undefined ? '' : toJsonString(schema, current, { useProtoFieldName: true }),
      undo: create(ConfigurationEditSchema, { kind: undo })
    })
  }
  for (const [name, part] of before) note(name, part, after.get(name))
  for (const [name, part] of after) if (!before.has(name)) note(name, undefined, part)
  return changes
}

/**
 * Lists the named parts that differ between two configurations.
 * @param from the earlier configuration
 * @param to the later one
 */
export function compareConfigurations (from: Configuration, to: Configuration): readonly PartChange[] {
  const before = new ConfigurationParts(from)
  const after = new ConfigurationParts(to)
  return [
    ...compareParts('workspace', WorkspaceSchema, before.workspaces, after.workspaces,
      (value) => ({ case: 'setWorkspace', value }), (value) => ({ case: 'removeWorkspace', value })),
    ...compareParts('pool', PoolSchema, before.pools, after.pools,
      (value) => ({ case: 'setPool', value }), (value) => ({ case: 'removePool', value })),
    ...compareParts('route', RouteSchema, before.routes, after.routes,
      (value) => ({ case: 'setRoute', value }), (value) => ({ case: 'removeRoute', value })),
    ...compareParts('retirement-rule', RetirementRuleSchema, before.retirementRules, after.retirementRules,
      (value) => ({ case: 'setRetirementRule', value }), (value) => ({ case: 'removeRetirementRule', value })),
    ...compareParts('retirement', RetirementSchema, before.retirements, after.retirements,
      (value) => ({ case: 'setRetirement', value }), (_name, value) => ({ case: 'removeRetirement', value }))
  ]
}

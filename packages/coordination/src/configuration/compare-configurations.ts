import type { DescMessage, Message, MessageInitShape } from '@bufbuild/protobuf'
import { create, equals, toJsonString } from '@bufbuild/protobuf'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  ConfigurationEditSchema, PoolSchema, RetirementRuleSchema, RetirementSchema, RouteSchema, WorkspaceSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationItems } from './configuration-items.js'
import type { ItemChange } from './item-change.js'

type EditKind = NonNullable<MessageInitShape<typeof ConfigurationEditSchema>['kind']>

function compareItems<Item extends Message> (
  itemKind: string,
  schema: DescMessage,
  before: ReadonlyMap<string, Item>,
  after: ReadonlyMap<string, Item>,
  createSetEdit: (item: Item) => EditKind,
  createRemoveEdit: (name: string, item: Item) => EditKind
): ItemChange[] {
  const changes: ItemChange[] = []
  const addChange = (name: string, old: Item | undefined, current: Item | undefined): void => {
    // Unchanged items are usually the same objects; the identity check avoids a deep comparison of 19,000 workspaces.
    if (old === current) return
    if (old !== undefined && current !== undefined && equals(schema, old, current)) return
    const undo = old !== undefined ? createSetEdit(old) : createRemoveEdit(name, current as Item)
    changes.push({
      subject: `${itemKind}/${name}`,
      before: old === undefined ? '' : toJsonString(schema, old, { useProtoFieldName: true }),
      after: current === undefined ? '' : toJsonString(schema, current, { useProtoFieldName: true }),
      undo: create(ConfigurationEditSchema, { kind: undo })
    })
  }
  for (const [name, item] of before) addChange(name, item, after.get(name))
  for (const [name, item] of after) if (!before.has(name)) addChange(name, undefined, item)
  return changes
}

/**
 * Returns the named items that differ between two configurations.
 * @param from earlier configuration
 * @param to later configuration
 * @returns one change for each added, modified or removed item, grouped by kind
 */
export function compareConfigurations (from: Configuration, to: Configuration): readonly ItemChange[] {
  const before = new ConfigurationItems(from)
  const after = new ConfigurationItems(to)
  return [
    ...compareItems('workspace', WorkspaceSchema, before.workspaces, after.workspaces,
      (value) => ({ case: 'setWorkspace', value }), (value) => ({ case: 'removeWorkspace', value })),
    ...compareItems('pool', PoolSchema, before.pools, after.pools,
      (value) => ({ case: 'setPool', value }), (value) => ({ case: 'removePool', value })),
    ...compareItems('route', RouteSchema, before.routes, after.routes,
      (value) => ({ case: 'setRoute', value }), (value) => ({ case: 'removeRoute', value })),
    ...compareItems('retirement-rule', RetirementRuleSchema, before.retirementRules, after.retirementRules,
      (value) => ({ case: 'setRetirementRule', value }), (value) => ({ case: 'removeRetirementRule', value })),
    ...compareItems('retirement', RetirementSchema, before.retirements, after.retirements,
      (value) => ({ case: 'setRetirement', value }), (_name, value) => ({ case: 'removeRetirement', value }))
  ]
}

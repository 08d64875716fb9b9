import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import { HomeRegionWarnings } from '@mimosarock/gateway/homes/home-region-warnings.js'
import { HomeRegions } from '@mimosarock/gateway/homes/home-regions.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { Route } from '@mimosarock/gateway/model/route.js'
import { createConfiguration } from './create-configuration.js'

const INVALID = { homeRegions: [], hasInvalidHomeRegions: true }

/** Returns a configuration whose route `read` and workspace `w` have the given home regions. */
function configurationWith (version: number, fields: Partial<Route>): GatewayConfiguration {
  const base = createConfiguration(version)
  return {
    ...base,
    routes: base.routes.map((route) => route.name === 'read' ? { ...route, ...fields } : route),
    workspaces: base.workspaces?.map((workspace) => workspace.name === 'w' ? { ...workspace, homeRegions: fields.homeRegions, hasInvalidHomeRegions: fields.hasInvalidHomeRegions } : workspace)
  }
}

/** Creates a router's state and records its warnings. */
function createState () {
  const warnings: unknown[] = []
  const state = new ConfigurationState({ now: () => 0 }, new SilentEventLog())
  const check = new HomeRegionWarnings(new HomeRegions({ regions: { z: 'north' }, availabilityZone: 'z', region: undefined }), {
    info: () => undefined, warn: (event, fields) => warnings.push([event, fields?.code, fields?.region ?? fields?.route ?? fields?.workspace, fields?.in_force])
  })
  state.onInForce((configuration) => check.check(configuration))
  const lists = () => [state.inForce?.routes.find('h', '/read/')?.homeRegions, state.inForce?.workspace('w')?.homeRegions]
  return { state, warnings, lists }
}

/** Lets a router adopt the patches since its version as they arrive over the network. */
function sync (from: ConfigurationState, to: ConfigurationState): void {
  to.adoptPatches(JSON.parse(JSON.stringify(from.patchesSince(to.version))), 'peer')
}

test('a malformed list: the last good one stays in force through further versions, with one warning each', () => {
  const { state, warnings, lists } = createState()
  state.adopt(configurationWith(1, { homeRegions: ['north'] }), 'store')
  for (const version of [2, 3]) state.adopt(configurationWith(version, INVALID), 'store')
  expect(lists()).toEqual([['north'], ['north']])
  expect(warnings).toEqual([['home-regions-invalid', 5014, 'read', 'north'], ['home-regions-invalid', 5014, 'w', 'north']])
})

test('a malformed list without an earlier good one allows nothing, also if the earlier version had no list', () => {
  const { state, warnings, lists } = createState()
  state.adopt(configurationWith(1, INVALID), 'store')
  expect([lists(), warnings.length]).toEqual([[[], []], 2])
  const later = createState()
  later.state.adopt(createConfiguration(1), 'store')
  later.state.adopt(configurationWith(2, INVALID), 'store')
  expect(later.lists()).toEqual([[], []])
})

test('a router that has no good list gets the corrected one by a patch, also if it is the one that others kept in force', () => {
  const [reader, restarted] = [createState(), createState()]
  reader.state.adopt(configurationWith(1, { homeRegions: ['north'] }), 'store')
  reader.state.adopt(configurationWith(2, INVALID), 'store')
  restarted.state.adopt(configurationWith(2, INVALID), 'store')
  reader.state.adopt(configurationWith(3, { homeRegions: ['north'] }), 'store')
  sync(reader.state, restarted.state)
  expect([restarted.state.version, restarted.lists()]).toEqual([3, [['north'], ['north']]])
})

test('a follower keeps its last good list if the router that sends the malformed one has none', () => {
  const [reader, follower] = [createState(), createState()]
  follower.state.adopt(configurationWith(1, { homeRegions: ['north'] }), 'store')
  reader.state.adopt(createConfiguration(1), 'store')
  reader.state.adopt(configurationWith(2, INVALID), 'store')
  sync(reader.state, follower.state)
  expect([follower.state.version, follower.lists()]).toEqual([2, [['north'], ['north']]])
})

test('each region that the settings do not name is warned of once, and again after it was corrected', () => {
  const { state, warnings } = createState()
  for (const [version, homeRegions] of [[1, ['nroth', 'north']], [2, ['nroth']], [3, ['north']], [4, ['nroth']]] as const) {
    state.adopt(configurationWith(version, { homeRegions }), 'store')
  }
  expect(warnings).toEqual(Array.from({ length: 2 }, () => ['home-region-unknown', 5012, 'nroth', undefined]))
})

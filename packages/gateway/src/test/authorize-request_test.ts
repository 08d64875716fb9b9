import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { authorizeRequest } from '@mimosarock/gateway/caller/authorize-request.js'
import { createConfigurationAgeLimits } from '@mimosarock/gateway/caller/create-configuration-age-limits.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import type { CallerRequest } from '@mimosarock/gateway/model/caller-request.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createConfiguration } from './create-configuration.js'
import { plainCodec } from './plain-codec.js'

const BOUND_MS = 2_000
const LIMITS = createConfigurationAgeLimits({ keyAgeLimitMs: 0, propagationBounds: { endpointsMs: BOUND_MS, configurationMs: BOUND_MS } })
const caller = plainCodec.readCallerRequest(['request-id', 'r1']) as CallerRequest

/** Result code of a request, by default on a route that the version in force does not have. */
function refusalOf (state: ConfigurationState, path = '/none/x'): ResultCode {
  try {
    authorizeRequest(caller, 'h', path, state, LIMITS)
    return ResultCode.OK
  } catch (error) {
    return (error as MimosarockError).code
  }
}

// Guards against CONFIG after a suspension (soak seed 108 beside load): an answer of the store whose first part had arrived counted as knowledge of what it contains.
test('an answer of the store that has only begun to arrive makes no refusal final, and a whole one does', () => {
  const clock = { ms: 10_000, now (): number { return this.ms } }
  const state = new ConfigurationState(clock, new SilentEventLog())
  state.adopt(createConfiguration(1), 'store')
  state.markVerified(clock.now())
  expect(refusalOf(state)).toBe(ResultCode.ROUTE_UNKNOWN)
  clock.ms += BOUND_MS
  state.markHeard(clock.now())
  expect(refusalOf(state)).toBe(ResultCode.CONFIGURATION_OUTDATED)
  state.markRead(clock.now())
  expect(refusalOf(state)).toBe(ResultCode.ROUTE_UNKNOWN)
})

// Guards against CONFIG: a router that had known of a version for the whole bound went on serving what that version removes.
test('a router that has lacked a version of which others tell for the time of the bound serves nothing by an older one', () => {
  const clock = { ms: 10_000, now (): number { return this.ms } }
  const state = new ConfigurationState(clock, new SilentEventLog())
  state.adopt(createConfiguration(1), 'store')
  state.hearOf(2, clock.now(), 'r1')
  clock.ms += LIMITS.lackingMs - 1
  state.hearOf(3, clock.now(), 'r1')
  expect(refusalOf(state, '/read/x')).toBe(ResultCode.OK)
  clock.ms += 1
  expect(refusalOf(state, '/read/x')).toBe(ResultCode.CONFIGURATION_OUTDATED)
  state.adopt(createConfiguration(2), 'r1')
  expect(refusalOf(state, '/read/x')).toBe(ResultCode.OK)
  clock.ms += LIMITS.lackingMs
  state.hearOf(3, clock.now(), 'r1')
  expect(refusalOf(state, '/read/x')).toBe(ResultCode.CONFIGURATION_OUTDATED)
})

// Guards against a fleet that serves nothing since all that had a version are gone: without its content, the older one is the newest there is.
test('a version that no router has stated for a while stops no request', () => {
  const clock = { ms: 10_000, now (): number { return this.ms } }
  const state = new ConfigurationState(clock, new SilentEventLog())
  state.adopt(createConfiguration(1), 'store')
  state.hearOf(2, clock.now(), 'r1')
  clock.ms += 60_000
  expect(refusalOf(state, '/read/x')).toBe(ResultCode.OK)
})

// Guards against a router that serves nothing at all since its settings ask for less time than a change takes.
test.each([0, 300, 400])('with a bound of %i ms, a router that lacks no version serves, and one that has just heard of one too', (boundMs) => {
  const clock = { ms: 10_000, now (): number { return this.ms } }
  const state = new ConfigurationState(clock, new SilentEventLog())
  state.adopt(createConfiguration(1), 'store')
  const limits = createConfigurationAgeLimits({ keyAgeLimitMs: 0, propagationBounds: { endpointsMs: boundMs, configurationMs: boundMs } })
  expect(authorizeRequest(caller, 'h', '/read/x', state, limits).configurationVersion).toBe(1)
  state.hearOf(2, clock.now(), 'r1')
  expect(authorizeRequest(caller, 'h', '/read/x', state, limits).configurationVersion).toBe(1)
})

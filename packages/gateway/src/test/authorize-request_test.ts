import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { authorizeRequest } from '@mimosarock/gateway/caller/authorize-request.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import type { CallerRequest } from '@mimosarock/gateway/model/caller-request.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createConfiguration } from './create-configuration.js'
import { plainCodec } from './plain-codec.js'

const BOUND_MS = 2_000
const caller = plainCodec.readCallerRequest(['request-id', 'r1']) as CallerRequest

/** Result code of a request on a route that the version in force does not have. */
function refusalOf (state: ConfigurationState): ResultCode {
  try {
    authorizeRequest(caller, 'h', '/none/x', state, { keysMs: 0, refusalMs: BOUND_MS })
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

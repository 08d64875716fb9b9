import { createServer } from 'node:http'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { GracefulShutdown } from '@mimosarock/gateway/shutdown/graceful-shutdown.js'

test('rejects all requests while the process exits, once none is in flight', async () => {
  const state = { isStopping: false, stopDeadline: undefined as number | undefined, requestsInFlight: 0 }
  await new GracefulShutdown(createServer(), state, 2_000, new SilentEventLog()).run()
  expect([state.isStopping, state.stopDeadline]).toEqual([true, -Infinity])
})

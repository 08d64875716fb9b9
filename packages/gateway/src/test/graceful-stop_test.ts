import { createServer } from 'node:http'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { GracefulStop } from '@mimosarock/gateway/leaving/graceful-stop.js'

test('when nothing is in work, nothing is taken any more while the process ends', async () => {
  const state = { isStopping: false, endsAt: undefined as number | undefined, requestsInWork: 0 }
  await new GracefulStop(createServer(), state, 2_000, new SilentEventLog()).run()
  expect([state.isStopping, state.endsAt]).toEqual([true, -Infinity])
})

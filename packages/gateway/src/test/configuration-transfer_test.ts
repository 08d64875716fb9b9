import { expect, test, vi } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import { ConfigurationTransfer } from '@mimosarock/gateway/transfers/configuration-transfer.js'
import type { ConfigurationUpdate } from '@mimosarock/gateway/transfers/configuration-update.js'
import type { TransferCall } from '@mimosarock/gateway/transfers/transfer-call.js'
import { createConfiguration } from './create-configuration.js'
import { useSimulatedTime } from './use-simulated-time.js'

const clock = { now: () => performance.now() + 1_000_000 }
useSimulatedTime()

/** A router that lacks version 2, and calls to sources that end when the test lets them. */
function createTransfer () {
  const configuration = new ConfigurationState(clock, new SilentEventLog())
  configuration.adopt(createConfiguration(1), 'store')
  const calls = new Map<string, { end: () => void, fail: () => void, attempt: Parameters<TransferCall>[2] }>()
  const transfer = new ConfigurationTransfer(configuration, async (address, _fromVersion, attempt) => await new Promise<ConfigurationUpdate>((resolve, reject) => {
    const fail = (): void => reject(new Error('no answer'))
    attempt.signal.addEventListener('abort', fail)
    calls.set(address, { end: () => resolve({ patches: undefined, configuration: createConfiguration(2) }), fail, attempt })
  }), clock, new SilentEventLog())
  let asked = 0
  transfer.listen(() => { asked += 1 })
  return { configuration, transfer, calls, askedOthers: () => asked }
}

// Guards against a router that waits for one source as long as it sends anything.
test('while a source is slow, the change is requested from another one, and the first that has sent it ends the other call', async () => {
  const { configuration, transfer, calls, askedOthers } = createTransfer()
  transfer.start('slow', 'followed')
  await vi.advanceTimersByTimeAsync(200)
  transfer.start('other', 'followed')
  expect([[...calls.keys()], transfer.isInTime, transfer.slowSources]).toEqual([['slow'], true, undefined])
  calls.get('slow')?.attempt.recordProgress(0.2)
  await vi.advanceTimersByTimeAsync(200)
  expect([transfer.isInTime, transfer.slowSources, askedOthers()]).toEqual([false, ['slow'], 1])
  transfer.start('other', 'followed')
  calls.get('other')?.end()
  await vi.advanceTimersByTimeAsync(1)
  expect([configuration.version, calls.get('slow')?.attempt.signal.aborted, transfer.slowSources]).toEqual([2, true, undefined])
})

// Guards against a source that stops in the middle and counts as nearly done.
test('a source that stops sending near the end is slow, and one that goes on near the end is not', async () => {
  const { transfer, calls } = createTransfer()
  transfer.start('source', 'followed')
  await vi.advanceTimersByTimeAsync(290)
  calls.get('source')?.attempt.recordProgress(0.9)
  await vi.advanceTimersByTimeAsync(100)
  expect(transfer.isInTime).toBe(true)
  await vi.advanceTimersByTimeAsync(200)
  expect(transfer.isInTime).toBe(false)
})

// Guards against routers that read the store although others send in time, and against ones that never read it although no one does.
test('the store is needed once all sources have been slow or have failed for some time, and not after a version came in another way', async () => {
  const { configuration, transfer, calls } = createTransfer()
  transfer.start('first', 'second')
  calls.get('first')?.fail()
  await vi.advanceTimersByTimeAsync(1)
  transfer.start('first', 'second')
  expect([[...calls.keys()], transfer.needsStore]).toEqual([['first', 'second'], false])
  await vi.advanceTimersByTimeAsync(1_000)
  expect(transfer.needsStore).toBe(true)
  configuration.adopt(createConfiguration(2), 'store')
  await vi.advanceTimersByTimeAsync(1)
  expect([transfer.needsStore, calls.get('second')?.attempt.signal.aborted]).toEqual([false, true])
})

import { create } from '@bufbuild/protobuf'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { expect, test } from 'vitest'
import { GroupAppender } from '../group-appender.js'
import type { LogService } from '../log-service.js'
import { SilentEventLog } from '../silent-event-log.js'
import { StreamReplica } from '../stream-replica.js'
import { SystemClock } from '../system-clock.js'

const MAXIMUM_APPENDS = 200

test('delays retries to a log that rejects at once, also after one of two callers has timed out', async () => {
  let appends = 0
  const ending = new AbortController()
  const logService: LogService = {
    append: async () => {
      appends += 1
      // Stops the appender if it retries without a delay, which would otherwise hang the process.
      if (appends > MAXIMUM_APPENDS) ending.abort()
      throw new Error('outage')
    },
    read: async () => ({ records: [], oldestOffset: 1, nextOffset: 1 })
  }
  const clock = new SystemClock()
  const eventLog = new SilentEventLog()
  const replica = new StreamReplica({
    stream: 'stream',
    logService,
    fold: { apply: () => {}, encodeState: () => new Uint8Array(), decodeState: () => {} },
    clock,
    eventLog,
    longPollMs: 10,
    slowPollMs: 10,
    readTimeoutMs: 10
  })
  const appender = new GroupAppender({
    logService, replica, writerId: 'writer', clock, eventLog, groupIntervalMs: 1, appendTimeoutMs: 10, maximumRecordBytes: 1_000
  })
  const entry = create(LogEntrySchema, { kind: { case: 'barrier', value: {} } })
  const appending = Promise.allSettled([appender.append(entry, 20), appender.append(entry, 400)])
  const running = appender.run(ending.signal)
  const results = await appending
  ending.abort()
  await running
  expect(results.map((result) => result.status)).toEqual(['rejected', 'rejected'])
  expect(appends).toBeLessThan(MAXIMUM_APPENDS)
})

test('rejects pending and later callers at once when the appender stops', async () => {
  const ending = new AbortController()
  const clock = new SystemClock()
  const eventLog = new SilentEventLog()
  const logService: LogService = {
    append: async (_stream, _data, signal) => await new Promise((_resolve, reject) => {
      signal?.addEventListener('abort', () => reject(new Error('ended')))
    }),
    read: async () => ({ records: [], oldestOffset: 1, nextOffset: 1 })
  }
  const fold = { apply: () => {}, encodeState: () => new Uint8Array(), decodeState: () => {} }
  const replica = new StreamReplica({ stream: 'stream', logService, fold, clock, eventLog, longPollMs: 10, slowPollMs: 10, readTimeoutMs: 10 })
  const appender = new GroupAppender({ logService, replica, writerId: 'writer', clock, eventLog, groupIntervalMs: 1, appendTimeoutMs: 10, maximumRecordBytes: 1_000 })
  const running = appender.run(ending.signal)
  const hourMs = 3_600_000
  const entry = create(LogEntrySchema, { kind: { case: 'barrier', value: {} } })
  const sent = appender.append(entry, hourMs)
  await clock.sleep(5)
  ending.abort()
  await expect(sent).rejects.toMatchObject({ run: 'unknown' })
  await expect(appender.append(entry, hourMs)).rejects.toMatchObject({ run: 'not-run' })
  await Promise.race([running, clock.sleep(10)])
})

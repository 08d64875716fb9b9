import { EventEmitter } from 'node:events'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { BunyanEventLog } from '../logging/bunyan-event-log.js'
import { StopSignals } from '../wiring/stop-signals.js'

test('an event is logged as one line of key=value pairs, without secrets', () => {
  const lines: string[] = []
  const eventLog = new BunyanEventLog('info', { write: (line) => lines.push(line) })
  eventLog.info('request-done', { request: 'r-1', workspace: 'alpha', duration_ms: 12.5, code: 0, prompt_tokens: 7 })
  eventLog.warn('request-failed', { error: new Error('two\nlines with "quotes"'), endpoint: undefined, models: ['a', 'b'] })
  eventLog.warn('operator-refused', { authorization: 'Bearer abc', token: 'abc', detail: 'got Bearer abc there' })
  new BunyanEventLog('warn', { write: (line) => lines.push(line) }).info('not-logged')
  expect(lines.map((line) => line.replace(/^time=\S+Z /, ''))).toMatchInlineSnapshot(`
    [
      "level=info event=request-done request=r-1 workspace=alpha duration_ms=12.5 code=0 prompt_tokens=7
    ",
      "level=warn event=request-failed error="two\\nlines with \\"quotes\\"" models="[\\"a\\",\\"b\\"]"
    ",
      "level=warn event=operator-refused authorization=[redacted] token=[redacted] detail="got Bearer [redacted] there"
    ",
    ]
  `)
})

test('the first signal stops the router gracefully, the second one immediately', async () => {
  const source = new EventEmitter()
  const calls: string[] = []
  const record = (name: string) => async (): Promise<void> => { calls.push(name) }
  const stopped = new StopSignals(source, new SilentEventLog()).run({ start: record('start'), stop: record('stop'), kill: record('kill') })
  source.emit('SIGTERM', 'SIGTERM')
  expect(await stopped).toBe(0)
  const hanging = new StopSignals(source, new SilentEventLog()).run({ start: record('start'), stop: () => new Promise(() => {}), kill: record('kill') })
  source.emit('SIGINT', 'SIGINT')
  source.emit('SIGTERM', 'SIGTERM')
  expect(await hanging).toBe(1)
  expect(calls).toEqual(['stop', 'kill'])
  expect(source.eventNames()).toEqual([])
})

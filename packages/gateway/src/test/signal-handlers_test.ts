import { EventEmitter } from 'node:events'
import { expect, test } from 'vitest'
import { SignalHandlers } from '@mimosarock/gateway/wiring/signal-handlers.js'

test('a signal that arrives before its handler is set reaches it once, and later ones each time', () => {
  const source = new EventEmitter()
  const signals = new SignalHandlers(['SIGHUP', 'SIGTERM'], source)
  const handled: string[] = []
  source.emit('SIGHUP')
  source.emit('SIGHUP')
  signals.handle('SIGTERM', () => handled.push('stop'))
  signals.handle('SIGHUP', () => handled.push('reload'))
  expect(handled).toEqual(['reload'])
  source.emit('SIGHUP')
  source.emit('SIGTERM')
  expect(handled).toEqual(['reload', 'reload', 'stop'])
})

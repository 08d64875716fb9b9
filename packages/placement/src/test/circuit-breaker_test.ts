import { expect, test } from 'vitest'
import { CircuitBreaker } from '../circuit-breaker.js'
import { CircuitState } from '../circuit-state.js'
import { ManualClock } from './manual-clock.js'

/** f failure, s silence, + success, number: milliseconds that pass, ? asks to pass. */
test.each([
  { steps: ['f', 'f', '?'], seen: ['true closed'] },
  { steps: ['f', 'f', 'f', '?'], seen: ['false open'] },
  { steps: ['f', 'f', '+', 'f', '?'], seen: ['true closed'] },
  { steps: ['s', 'f', '?'], seen: ['false open'] },
  { steps: ['s', 's', 999, '?', 1, '?', '?'], seen: ['false open', 'true half-open', 'false half-open'] },
  { steps: ['s', 's', 1_000, '?', '+', '?'], seen: ['true half-open', 'true closed'] },
  { steps: ['s', 's', 1_000, '?', 'f', 1_999, '?', 1, '?'], seen: ['true half-open', 'false open', 'true half-open'] },
  { steps: ['s', 's', '+', '?'], seen: ['false open'] },
  { steps: ['s', 's', 1_000, 's', '?'], seen: ['true half-open'] }
])('circuit after $steps', async ({ steps, seen }) => {
  const clock = new ManualClock()
  const circuit = new CircuitBreaker({ consecutiveFailures: 3, openMs: 1_000, maximumOpenMs: 30_000, clock })
  const answers: string[] = []
  for (const step of steps) {
    if (typeof step === 'number') await clock.advance(step)
    if (step === 'f') circuit.noteFailure()
    if (step === 's') circuit.noteSilence()
    if (step === '+') circuit.noteSuccess()
    if (step === '?') answers.push(`${circuit.tryPass()} ${circuit.state}`)
  }
  expect(answers).toEqual(seen)
})

test('the time that it stays open is bounded', async () => {
  const clock = new ManualClock()
  const circuit = new CircuitBreaker({ consecutiveFailures: 1, openMs: 1_000, maximumOpenMs: 4_000, clock })
  circuit.noteFailure()
  for (let probe = 0; probe < 6; probe += 1) {
    await clock.advance(circuit.retryAfterMs)
    expect(circuit.tryPass()).toBe(true)
    circuit.noteFailure()
  }
  expect(circuit.retryAfterMs).toBe(4_000)
})

test('silences that come together count once, and later ones again', async () => {
  const clock = new ManualClock()
  const circuit = new CircuitBreaker({ consecutiveFailures: 3, openMs: 1_000, maximumOpenMs: 4_000, burstMs: 100, clock })
  for (let connection = 0; connection < 10; connection += 1) circuit.noteSilence()
  expect(circuit.state).toBe(CircuitState.CLOSED)
  await clock.advance(100)
  circuit.noteSilence()
  expect(circuit.state).toBe(CircuitState.OPEN)
})

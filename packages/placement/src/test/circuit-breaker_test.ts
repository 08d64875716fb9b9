import { expect, test } from 'vitest'
import { CircuitBreaker } from '../circuit-breaker.js'
import { CircuitState } from '../circuit-state.js'
import { ManualClock } from './manual-clock.js'

// Steps: f records a failure, s a timeout, + a success; a number advances the clock by that many milliseconds; ? requests
// permission and appends the result and the state to the list that is compared with `seen`.
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
])('state after the steps $steps', async ({ steps, seen }) => {
  const clock = new ManualClock()
  const circuit = new CircuitBreaker({ failureThreshold: 3, openMs: 1_000, maximumOpenMs: 30_000, clock })
  const answers: string[] = []
  for (const step of steps) {
    if (typeof step === 'number') await clock.advance(step)
    if (step === 'f') circuit.recordFailure()
    if (step === 's') circuit.recordTimeout()
    if (step === '+') circuit.recordSuccess()
    if (step === '?') answers.push(`${circuit.tryAcquire()} ${circuit.state}`)
  }
  expect(answers).toEqual(seen)
})

test('the open interval has an upper bound', async () => {
  const clock = new ManualClock()
  const circuit = new CircuitBreaker({ failureThreshold: 1, openMs: 1_000, maximumOpenMs: 4_000, clock })
  circuit.recordFailure()
  for (let probe = 0; probe < 6; probe += 1) {
    await clock.advance(circuit.retryAfterMs)
    expect(circuit.tryAcquire()).toBe(true)
    circuit.recordFailure()
  }
  expect(circuit.retryAfterMs).toBe(4_000)
})

test('timeouts within one burst count once, and a later timeout counts again', async () => {
  const clock = new ManualClock()
  const circuit = new CircuitBreaker({ failureThreshold: 3, openMs: 1_000, maximumOpenMs: 4_000, timeoutBurstMs: 100, clock })
  for (let connection = 0; connection < 10; connection += 1) circuit.recordTimeout()
  expect(circuit.state).toBe(CircuitState.CLOSED)
  await clock.advance(100)
  circuit.recordTimeout()
  expect(circuit.state).toBe(CircuitState.OPEN)
})

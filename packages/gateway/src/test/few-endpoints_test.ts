import { expect, test } from 'vitest'
import { simulateFewEndpoints } from './few-endpoints-simulation.js'

const OBJECTIVE_MS = 386

// Pattern: many routers, a service of few endpoints, each request shorter than the interval of the load reports.
test('78 routers share 7 endpoints of which two thirds are in use: less than one request in a hundred is beyond the objective', async () => {
  const { times } = await simulateFewEndpoints({ routers: 78, endpoints: 7, slots: 6, perSecond: 330, serviceMs: 86, reportIntervalMs: 500, seconds: 20 })
  expect(times.length).toBeGreaterThan(6_000)
  expect(times.filter((ms) => ms > OBJECTIVE_MS).length / times.length).toBeLessThan(0.01)
}, 60_000)

// Pattern: one endpoint of the service turns slow; its load, as reported, keeps most requests away from it.
test('one of 7 endpoints is four times as slow: it gets less than an equal share of the requests', async () => {
  const { times } = await simulateFewEndpoints({ routers: 78, endpoints: 7, slots: 6, perSecond: 200, serviceMs: 86, reportIntervalMs: 500, seconds: 20, slowness: 4 })
  // Requests at the slow endpoint take 172 to 516 ms without waiting; an equal share of them would be one in seven.
  expect(times.filter((ms) => ms > 172).length / times.length).toBeLessThan(1 / 7)
}, 60_000)

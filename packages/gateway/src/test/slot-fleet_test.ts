import { expect, test } from 'vitest'
import { SlotFleetSimulation } from './slot-fleet-simulation.js'

const BURSTS = [200, 600] as const

// Guards against routers that each choose by old loads: one endpoint had a queue while another one had free slots.
test.each([[31, 150, 0.1], [61, 200, 0.02], [195, 250, 0.02]])('%i routers in front of 18 slots: more requests are answered within %i ms than without grants', async (routers, objectiveMs, gain) => {
  const load = { routers, perSecond: BURSTS, seconds: 6, objectiveMs }
  const shares = new SlotFleetSimulation({ ...load, usesGrants: false })
  await shares.run()
  const grants = new SlotFleetSimulation({ ...load, usesGrants: true })
  await grants.run()
  expect(grants.share(objectiveMs)).toBeGreaterThan(shares.share(objectiveMs) + gain)
  expect(grants.unfinished).toBe(0)
}, 60_000)

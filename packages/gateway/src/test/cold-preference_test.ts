import { expect, test } from 'vitest'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { ColdPreference } from '@mimosarock/gateway/warm-up/cold-preference.js'

const [cold, busy, warm] = ['cold', 'cold-busy', 'warm'].map((id): EndpointEntry => {
  return { id, service: 's', address: id, availabilityZone: 'z', slots: 8, isDraining: false, startedAt: 1, revision: 1 }
}) as [EndpointEntry, EndpointEntry, EndpointEntry]
const preference = new ColdPreference({ isCold: ({ id }) => id.startsWith('cold') })
const always = (): boolean => true
const isBelowMean = ({ id }: EndpointEntry): boolean => id === 'cold'

// Guards against cold endpoints, which are slow, that hold a multiple of the mean since they are preferred up to the load bound.
test('cold endpoints are preferred for what they may get only while they have less than the mean in flight', () => {
  expect(preference.apply([cold, busy, warm], false, always, isBelowMean)).toEqual([cold])
  expect(preference.apply([busy, warm], false, always, isBelowMean)).toEqual([warm])
})

test('requests that need a warm endpoint get a cold one only if no warm one has capacity', () => {
  expect(preference.apply([cold, warm], true, always, isBelowMean)).toEqual([warm])
  expect(preference.apply([cold, warm], true, () => false, isBelowMean)).toEqual([cold, warm])
})

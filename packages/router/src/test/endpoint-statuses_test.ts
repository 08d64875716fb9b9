import { create } from '@bufbuild/protobuf'
import { expect, test } from 'vitest'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { EndpointStatuses } from '../watch/endpoint-statuses.js'
import { RetirementState } from '../retirement/retirement-state.js'

test('lists owner, state and load of each endpoint, and the state of a retirement instead of the availability', () => {
  const endpoints = ['e0', 'e1', 'e2'].map((name) => ({ name, address: `${name}:80`, availabilityZone: 'a', capacity: 1 }))
  const index = new ConfigurationIndex(create(ConfigurationSchema, { pools: [{ name: 'chat', endpoints }] }), 1, 1)
  const router = { id: 'r1', availabilityZone: 'a', peerAddress: '', forwardAddress: '', leaving: false }
  const statuses = new EndpointStatuses({
    configuration: { current: () => index, onChange: () => () => {} },
    owners: { ownerOf: (_, endpoint) => endpoint === 'e2' ? undefined : router, onChange: () => () => {} },
    health: { availability: (_, endpoint) => endpoint === 'e1' ? EndpointAvailability.FAILED : EndpointAvailability.LEAVING },
    retirements: { stateOf: (_, endpoint) => endpoint === 'e0' ? RetirementState.DRAINING : undefined },
    admissionOf: (_, endpoint) => endpoint === 'e0' ? { inFlight: 3, queued: 2 } : undefined
  })
  const lines = statuses.list().map((status) =>
    `${status.pool}/${status.endpoint} of ${status.ownerRouterId}: ${status.state} ${status.inFlight} ${status.queued}`)
  expect(lines).toMatchInlineSnapshot(`
    [
      "chat/e0 of r1: draining 3 2",
      "chat/e1 of r1: failed 0 0",
      "chat/e2 of : leaving 0 0",
    ]
  `)
})

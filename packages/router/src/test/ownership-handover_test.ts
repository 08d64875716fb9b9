import { create } from '@bufbuild/protobuf'
import { expect, test } from 'vitest'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { DisplacedChats } from '@mimosarock/placement/displaced-chats.js'
import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfiguredOwners } from '../owner/configured-owners.js'
import { displacedKey } from '../contexts/displaced-key.js'
import { DisplacementReports } from '../contexts/displacement-reports.js'
import { OwnershipHandover } from '../owner/ownership-handover.js'

const endpoints = Array.from({ length: 6 }, (_, index) => ({ name: `e${index}`, address: `10.0.0.${index}:80`, availabilityZone: 'a', capacity: 4 }))
const configuration = {
  current: () => new ConfigurationIndex(create(ConfigurationSchema, { pools: [{ name: 'chat', endpoints }] }), 1, 1),
  onChange: () => () => {}
}
const order = new RendezvousOrder(endpoints)
const firstEndpoint = (_: string, key: string): string | undefined => order.first(key, 1)[0]?.name

/** Routers connected by an in-memory messenger; all of them see at once which routers are leaving. */
class InMemoryFleet {
  readonly leaving = new Set<string>()
  readonly unreachable = new Set<string>()
  readonly handlers = new Map<string, (params: unknown) => unknown>()
  private readonly _listeners = new Set<() => void>()
  private readonly _ids: readonly string[]

  constructor (ids: readonly string[]) {
    this._ids = ids
  }

  identity (id: string): RouterIdentity {
    return { id, availabilityZone: 'a', peerAddress: id, forwardAddress: id, leaving: this.leaving.has(id) }
  }

  member (id: string): Membership & { leave (): void } {
    const fleet = this
    return {
      get self () { return fleet.identity(id) },
      live: () => fleet._ids.map((other) => fleet.identity(other)),
      onChange: (listener) => {
        fleet._listeners.add(listener)
        return () => fleet._listeners.delete(listener)
      },
      leave: () => {
        fleet.leaving.add(id)
        for (const listener of fleet._listeners) listener()
      }
    }
  }

  messenger (id: string): PeerMessenger {
    return {
      call: async (peer, method, params) => {
        if (this.unreachable.has(peer)) throw new MimosarockError(ResultCode.PEER_UNREACHABLE, peer)
        return await this.handlers.get(`${peer} ${method}`)?.(JSON.parse(JSON.stringify(params)))
      },
      handle: (method, handler) => { this.handlers.set(`${id} ${method}`, handler) }
    }
  }
}

interface HandoverRouter {
  readonly displaced: DisplacedChats
  readonly handover: OwnershipHandover
  readonly externalLoads: Map<string, number>
  readonly owners: ConfiguredOwners
}

function startRouter (fleet: InMemoryFleet, id: string): HandoverRouter {
  const clock = new SystemClock()
  const membership = fleet.member(id)
  const messenger = fleet.messenger(id)
  const owners = new ConfiguredOwners(configuration, membership)
  const displaced = new DisplacedChats(100, 60_000, clock)
  const externalLoads = new Map<string, number>()
  // The constructor registers the handler that receives the directory's entries.
  expect(new DisplacementReports({ owners, selfId: () => id, messenger, displacedChats: displaced, clock })).toBeDefined()
  const handover = new OwnershipHandover({
    configuration,
    membership,
    owners,
    messenger,
    displacedChats: displaced,
    primaryEndpoint: firstEndpoint,
    inFlight: () => 3,
    recordExternalLoad: (_, endpoint, running) => { externalLoads.set(endpoint, running) },
    clock,
    eventLog: new SilentEventLog()
  })
  return { displaced, handover, externalLoads, owners }
}

function startFleet (): { fleet: InMemoryFleet, leavingRouter: HandoverRouter, others: HandoverRouter[], keys: string[] } {
  const fleet = new InMemoryFleet(['r0', 'r1', 'r2'])
  const [leavingRouter, ...others] = ['r0', 'r1', 'r2'].map((id) => startRouter(fleet, id)) as [HandoverRouter, ...HandoverRouter[]]
  const keys = Array.from({ length: 20 }, (_, index) => index.toString(16).padStart(16, '0'))
    .filter((key) => leavingRouter.owners.ownerOf('chat', firstEndpoint('chat', key) ?? '')?.id === 'r0')
  for (const key of keys) leavingRouter.displaced.record(displacedKey('chat', key), 'e5')
  expect(keys.length).toBeGreaterThan(0)
  return { fleet, leavingRouter, others, keys }
}

test('the next owners receive the loads and the displaced chats of the endpoints that they take over', async () => {
  const { leavingRouter, others, keys } = startFleet()
  const owned = endpoints.map(({ name }) => name).filter((name) => leavingRouter.owners.ownerOf('chat', name)?.id === 'r0')
  expect(await leavingRouter.handover.handOver(new AbortController().signal)).toBe(keys.length)
  for (const key of keys) {
    const owner = leavingRouter.owners.ownerOf('chat', firstEndpoint('chat', key) ?? '')
    const receivers = others.map((router, index) => router.displaced.endpointOf(displacedKey('chat', key)) === 'e5' ? `r${index + 1}` : '')
    expect(receivers.filter((id) => id !== '')).toEqual([owner?.id])
  }
  const received = others.flatMap((router) => [...router.externalLoads.keys()]).sort()
  expect(received).toEqual(owned)
})

test('a next owner that does not respond delays neither the shutdown nor the handover to the other owners', async () => {
  const { fleet, leavingRouter, others, keys } = startFleet()
  fleet.unreachable.add('r1')
  const handedOver = await leavingRouter.handover.handOver(new AbortController().signal)
  expect(handedOver).toBe(others[1]?.displaced.size)
  expect(handedOver).toBeLessThanOrEqual(keys.length)
  expect(leavingRouter.owners.ownerOf('chat', 'e0')?.id).not.toBe('r0')
})

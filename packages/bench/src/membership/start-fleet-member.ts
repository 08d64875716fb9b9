import { HeartbeatMembership } from '@mimosarock/coordination/membership/heartbeat-membership.js'
import { PeerConnections } from '@mimosarock/coordination/membership/peer-connections.js'
import { PeerMethods } from '@mimosarock/coordination/membership/peer-methods.js'
import { PeerServer } from '@mimosarock/coordination/membership/peer-server.js'
import { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import type { FleetMember } from './fleet-member.js'

const HEARTBEAT_MS = 1_000
const SUSPICION_MS = 3_000
const SILENCED_METHODS = ['ping', 'heartbeat', 'membership.compare', 'membership.offer', 'membership.revisions']

/**
 * Starts the membership protocol of one router with the production intervals.
 * @param id id of the router
 * @param seeds peer addresses of routers that are already running; empty for the first
 */
export async function startFleetMember (id: string, seeds: readonly string[]): Promise<FleetMember> {
  const methods = new PeerMethods()
  const traffic = new TrafficCounter()
  const clock = new SystemClock()
  const common = { access: {}, clock, eventLog: new SilentEventLog(), traffic, methods }
  const server = new PeerServer({ ...common, address: '127.0.0.1:0' })
  const address = await server.listen()
  const connections = new PeerConnections(common)
  let heartbeatCount = 0
  const messenger: PeerMessenger = {
    call: async (peer, method, params, timeoutMs) => {
      if (method === 'heartbeat') heartbeatCount += 1
      return await connections.call(peer, method, params, timeoutMs)
    },
    handle: (method, handler) => connections.handle(method, handler)
  }
  const membership = new HeartbeatMembership({
    ...common,
    self: { id, availabilityZone: 'a', peerAddress: address, forwardAddress: address, leaving: false },
    messenger,
    vmList: { list: async () => [] },
    seeds,
    heartbeatMs: HEARTBEAT_MS,
    suspicionMs: SUSPICION_MS
  })
  const stopController = new AbortController()
  membership.run(stopController.signal)
  return {
    id,
    address,
    membership,
    traffic,
    sentHeartbeats: () => heartbeatCount,
    silence: () => {
      stopController.abort()
      for (const method of SILENCED_METHODS) methods.handle(method, () => new Promise(() => {}))
    },
    close: async () => {
      stopController.abort()
      connections.close()
      await server.close()
    }
  }
}

import { HeartbeatMembership } from '../membership/heartbeat-membership.js'
import { PeerConnections } from '../membership/peer-connections.js'
import { PeerMethods } from '../membership/peer-methods.js'
import { PeerServer } from '../membership/peer-server.js'
import { TrafficCounter } from '../membership/traffic-counter.js'
import { SilentEventLog } from '../silent-event-log.js'
import { SystemClock } from '../system-clock.js'
import type { TestRouter } from './test-router.js'
import type { TestRouterOptions } from './test-router-options.js'

/** Starts the peer server and the membership of a test router. */
export async function startRouter (options: TestRouterOptions): Promise<TestRouter> {
  const methods = new PeerMethods()
  const traffic = new TrafficCounter()
  const common = { access: {}, clock: options.clock ?? new SystemClock(), eventLog: new SilentEventLog(), traffic, methods }
  const server = new PeerServer({ ...common, address: '127.0.0.1:0' })
  const listening = await server.listen()
  const address = await (options.advertisedAddress?.(listening) ?? listening)
  const messenger = new PeerConnections(common)
  const membership = new HeartbeatMembership({
    self: { id: options.id, availabilityZone: options.zone ?? 'a', peerAddress: address, forwardAddress: address, leaving: false },
    messenger,
    vmList: { list: async () => options.vmEntries?.() ?? [] },
    seeds: options.seeds ?? [],
    clock: common.clock,
    eventLog: common.eventLog,
    heartbeatMs: options.heartbeatMs ?? 100,
    suspicionMs: options.suspicionMs ?? 400
  })
  const ended = new AbortController()
  membership.run(ended.signal)
  const crash = async (): Promise<void> => {
    ended.abort()
    messenger.close()
    await server.close()
  }
  return { id: options.id, address, membership, traffic, crash }
}

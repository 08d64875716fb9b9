import type { HeartbeatExtension } from '../membership/heartbeat-extension.js'
import type { RouterIdentity } from '../router-identity.js'
import { CatchUpServer } from './catch-up-server.js'
import type { CatchUpStream } from './catch-up-stream.js'
import { StreamCatchUp } from './stream-catch-up.js'
import type { PeerCatchUpOptions } from './peer-catch-up-options.js'

/** Resolution of the staleness reported in heartbeats. */
const STALENESS_STEP_MS = 100
/** Upper bound of the transit time of a heartbeat, added to the staleness that it reports. */
const MAXIMUM_TRANSIT_MS = 1_000

/**
 * Lets replicas catch up from peers. Heartbeats carry the applied offset of each stream; a router that is behind and
 * receives nothing from the log service fetches the missing records, or the whole state, from the memory of a peer.
 * Recovery from the memory of peers instead of stable storage follows G. C. Hunt and M. L. Scott,
 * "Using Peer Support to Reduce Fault-Tolerant Overhead in Distributed Shared Memories".
 *
 * @example
 * const peerCatchUp = new PeerCatchUp({ streams: [{ replica }], messenger, clock, eventLog, bytesPerSecond: 1_000, burstBytes: 65_536, graceMs: 300 })
 * membership.addExtension(peerCatchUp)
 * await peerCatchUp.run(signal)
 */
export class PeerCatchUp implements HeartbeatExtension {
  readonly name = 'l'
  private readonly _options: PeerCatchUpOptions
  private readonly _catchUps: readonly StreamCatchUp[]

  /**
   * Registers the methods `log.fetch` and `log.state` with the messenger.
   * @param options streams, messenger, clock, event log, byte budget and grace period
   */
  constructor (options: PeerCatchUpOptions) {
    this._options = options
    this._catchUps = options.streams.map((stream, index) => new StreamCatchUp(options, index, stream.replica))
    // eslint-disable-next-line no-new -- the constructor registers handlers, through which the messenger references the server
    new CatchUpServer(options)
  }

  /**
   * Returns the applied offset and the staleness, in units of `STALENESS_STEP_MS`, of each stream; null for a stream that
   * has no state yet or was never proved current.
   */
  outgoing (): unknown {
    return this._options.streams.map(({ replica }) => {
      if (!replica.started || !Number.isFinite(replica.stalenessMs)) return null
      return [replica.appliedOffset, Math.ceil(replica.stalenessMs / STALENESS_STEP_MS)]
    })
  }

  /**
   * Handles the offsets that a peer reports.
   * @param peer the sender
   * @param payload value that the peer's `outgoing` returned; malformed entries are ignored
   */
  incoming (peer: RouterIdentity, payload: unknown): void {
    if (!Array.isArray(payload)) return
    this._options.streams.forEach((stream, index) => {
      const [offset, staleness] = Array.isArray(payload[index]) ? payload[index] : []
      if (!Number.isInteger(offset) || !Number.isInteger(staleness)) return
      this._catchUps[index]?.recordOffset(peer.peerAddress, offset)
      this._recordProof(stream, offset, staleness * STALENESS_STEP_MS)
    })
  }

  /**
   * Fetches missing records whenever a peer is ahead, until the signal aborts.
   * @param signal stops the tasks of all streams
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all(this._catchUps.map(async (catchUp) => await catchUp.run(signal)))
  }

  /**
   * Records how current this replica is known to be: a peer that is not ahead of it, and was itself current
   * `stalenessMs` ago, proves that this replica was current at that time.
   */
  private _recordProof (stream: CatchUpStream, offset: number, stalenessMs: number): void {
    const { replica } = stream
    if (!replica.started || offset > replica.appliedOffset) return
    if (stream.acceptsPeerProof?.() === false) return
    replica.recordProof(this._options.clock.now() - stalenessMs - MAXIMUM_TRANSIT_MS)
  }
}

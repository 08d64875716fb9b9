import type { HeartbeatExtension } from '../membership/heartbeat-extension.js'
import type { RouterIdentity } from '../router-identity.js'
import { SpreadServer } from './spread-server.js'
import type { SpreadStream } from './spread-stream.js'
import { StreamPull } from './stream-pull.js'
import type { StreamSpreaderOptions } from './stream-spreader-options.js'

/** Precision of the staleness in heartbeats, in milliseconds. */
const STALENESS_STEP_MS = 100
/** Longest time that a heartbeat may have been under way; added to the staleness that it tells. */
const TRANSIT_MS = 1_000

/**
 * Lets routers learn streams from each other: heartbeats carry how far each has got, and one that is behind
 * and gets nothing from the log service fetches the missing records, or the whole state, from the memory of a
 * peer. The idea of logging to peers' memory in place of stable storage is from G. C. Hunt and M. L. Scott,
 * "Using Peer Support to Reduce Fault-Tolerant Overhead in Distributed Shared Memories".
 *
 * @example
 * const spreader = new StreamSpreader({ streams: [{ replica }], messenger, clock, eventLog, bytesPerSecond: 1_000, burstBytes: 65_536, graceMs: 300 })
 * membership.addExtension(spreader)
 * await spreader.run(signal)
 */
export class StreamSpreader implements HeartbeatExtension {
  readonly name = 'l'
  private readonly _options: StreamSpreaderOptions
  private readonly _pulls: readonly StreamPull[]

  /**
   * Registers the methods at the messenger.
   * @param options what the spreader works with
   */
  constructor (options: StreamSpreaderOptions) {
    this._options = options
    this._pulls = options.streams.map((stream, index) => new StreamPull(options, index, stream.replica))
    // eslint-disable-next-line no-new -- registers its methods and lives as long as the messenger
    new SpreadServer(options)
  }

  /** Applied offset and staleness of each stream; null for one that has no state yet. */
  outgoing (): unknown {
    return this._options.streams.map(({ replica }) => {
      if (!replica.started || !Number.isFinite(replica.stalenessMs)) return null
      return [replica.appliedOffset, Math.ceil(replica.stalenessMs / STALENESS_STEP_MS)]
    })
  }

  /**
   * Takes a peer's offsets.
   * @param peer who sent them
   * @param payload what its `outgoing` gave
   */
  incoming (peer: RouterIdentity, payload: unknown): void {
    if (!Array.isArray(payload)) return
    this._options.streams.forEach((stream, index) => {
      const [offset, staleness] = Array.isArray(payload[index]) ? payload[index] : []
      if (!Number.isInteger(offset) || !Number.isInteger(staleness)) return
      this._pulls[index]?.noteOffset(peer.peerAddress, offset)
      this._noteProof(stream, offset, staleness * STALENESS_STEP_MS)
    })
  }

  /**
   * Fetches what is missing until the signal aborts.
   * @param signal ends the tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all(this._pulls.map(async (pull) => await pull.run(signal)))
  }

  /** A peer that missed nothing a while ago, and is no further than this replica, proves the same of it. */
  private _noteProof (stream: SpreadStream, offset: number, stalenessMs: number): void {
    const { replica } = stream
    if (!replica.started || offset > replica.appliedOffset) return
    if (stream.mayProve?.() === false) return
    replica.noteProof(this._options.clock.now() - stalenessMs - TRANSIT_MS)
  }
}

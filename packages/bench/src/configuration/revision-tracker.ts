import { toBinary } from '@bufbuild/protobuf'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { FleetRouter } from '../fleet/fleet-router.js'

interface TrackedRouter {
  readonly id: string
  readonly trackedSince: number
  endedAt: number
  highestRevision: number
  readonly inForceAt: Map<number, number>
}

/**
 * Time within which a revision must come into force on every router, after it first came into force on any. A router
 * that stops sooner without the revision is ignored.
 */
const MAXIMUM_DELAY_MS = 14_000

/** Records when each revision comes into force on each router, and counts reverts and conflicting contents. */
export class RevisionTracker {
  /** Number of times that a router had a lower revision than before, or than the newest when its tracking began. */
  reverts = 0
  /** Number of times that a router had other content for a revision than the first router that reported it. */
  conflictingContents = 0
  private readonly _routers: TrackedRouter[] = []
  private readonly _firstInForceAt = new Map<number, number>()
  private readonly _contents = new Map<number, Uint8Array>()

  /** Newest revision that came into force on any router; 0 if there is none. */
  get newestRevision (): number {
    return Math.max(0, ...this._firstInForceAt.keys())
  }

  /**
   * Tracks the revisions of a router until `stopTracking` is called.
   * @param router started router
   */
  track (router: FleetRouter): void {
    const { configuration } = router.process.components.streams
    const tracked: TrackedRouter = { id: router.process.id, trackedSince: performance.now(), endedAt: Infinity, highestRevision: 0, inForceAt: new Map() }
    const newestAtStart = this.newestRevision
    this._routers.push(tracked)
    const record = (): void => {
      const current = configuration.current()
      if (current === undefined || tracked.endedAt !== Infinity) return
      const now = performance.now()
      if (current.revision < tracked.highestRevision || current.revision < newestAtStart) this.reverts += 1
      for (let revision = tracked.highestRevision + 1; revision <= current.revision; revision += 1) tracked.inForceAt.set(revision, now)
      tracked.highestRevision = Math.max(tracked.highestRevision, current.revision)
      if (!this._firstInForceAt.has(current.revision)) this._firstInForceAt.set(current.revision, now)
      const content = toBinary(ConfigurationSchema, current.configuration)
      const recordedContent = this._contents.get(current.revision)
      if (recordedContent === undefined) this._contents.set(current.revision, content)
      else if (Buffer.compare(recordedContent, content) !== 0) this.conflictingContents += 1
    }
    configuration.onChange(record)
    record()
  }

  /**
   * Stops tracking a router, because the bench is about to stop it.
   * @param id id of the router
   */
  stopTracking (id: string): void {
    for (const router of this._routers) if (router.id === id) router.endedAt = Math.min(router.endedAt, performance.now())
  }

  /**
   * Returns the milliseconds from the time at which each revision first came into force on any router until it came
   * into force on each router; Infinity for a router on which it never did. Leaves out routers that were not tracked
   * at that time, and those that stopped less than 14 s after it without the revision.
   */
  delays (): number[] {
    const now = performance.now()
    return [...this._firstInForceAt].flatMap(([revision, firstInForceAt]) => this._routers
      .filter((router) => router.trackedSince < firstInForceAt)
      .map((router) => {
        const inForceAt = router.inForceAt.get(revision)
        if (inForceAt !== undefined) return Math.max(0, inForceAt - firstInForceAt)
        return Math.min(router.endedAt, now) - firstInForceAt < MAXIMUM_DELAY_MS && router.endedAt !== Infinity ? undefined : Infinity
      })
      .filter((delay) => delay !== undefined))
  }
}

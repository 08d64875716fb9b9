import { toBinary } from '@bufbuild/protobuf'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { FleetRouter } from '../fleet/fleet-router.js'

interface WatchedRouter {
  readonly id: string
  readonly attachedAt: number
  endedAt: number
  highest: number
  readonly inForceAt: Map<number, number>
}

/** Longest time that a revision may take; a router that ended sooner after the acceptance is left out. */
const BOUND_MS = 14_000

/** Notes when each revision came into force on each router, and whether any was taken back or differed. */
export class RevisionWatch {
  /** Times that a router went back to an earlier revision, or came up with one. */
  reverts = 0
  /** Times that one revision had two contents. */
  splitContents = 0
  private readonly _routers: WatchedRouter[] = []
  private readonly _acceptedAt = new Map<number, number>()
  private readonly _contents = new Map<number, Uint8Array>()

  /** Newest revision that is in force anywhere. */
  get newest (): number {
    return Math.max(0, ...this._acceptedAt.keys())
  }

  /**
   * Follows a router until it ends.
   * @param router a started router
   */
  attach (router: FleetRouter): void {
    const { configuration } = router.process.components.streams
    const watched: WatchedRouter = { id: router.process.id, attachedAt: performance.now(), endedAt: Infinity, highest: 0, inForceAt: new Map() }
    const newestAtStart = this.newest
    this._routers.push(watched)
    const note = (): void => {
      const current = configuration.current()
      if (current === undefined || watched.endedAt !== Infinity) return
      const now = performance.now()
      if (current.revision < watched.highest || current.revision < newestAtStart) this.reverts += 1
      for (let revision = watched.highest + 1; revision <= current.revision; revision += 1) watched.inForceAt.set(revision, now)
      watched.highest = Math.max(watched.highest, current.revision)
      if (!this._acceptedAt.has(current.revision)) this._acceptedAt.set(current.revision, now)
      const content = toBinary(ConfigurationSchema, current.configuration)
      const known = this._contents.get(current.revision)
      if (known === undefined) this._contents.set(current.revision, content)
      else if (Buffer.compare(known, content) !== 0) this.splitContents += 1
    }
    configuration.onChange(note)
    note()
  }

  /**
   * Notes that a router was ended by the bench.
   * @param id the router
   */
  end (id: string): void {
    for (const router of this._routers) if (router.id === id) router.endedAt = Math.min(router.endedAt, performance.now())
  }

  /** Milliseconds from the acceptance of each revision until each router had it in force; Infinity if it never had. */
  delays (): number[] {
    const now = performance.now()
    return [...this._acceptedAt].flatMap(([revision, acceptedAt]) => this._routers
      .filter((router) => router.attachedAt < acceptedAt)
      .map((router) => {
        const inForceAt = router.inForceAt.get(revision)
        if (inForceAt !== undefined) return Math.max(0, inForceAt - acceptedAt)
        return Math.min(router.endedAt, now) - acceptedAt < BOUND_MS && router.endedAt !== Infinity ? undefined : Infinity
      })
      .filter((delay) => delay !== undefined))
  }
}

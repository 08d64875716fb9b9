import type { FleetKnowledge } from './fleet-knowledge.js'
import { LoadSnapshot } from './load-snapshot.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Most notes in one answer; the rest follows with the next one. */
const MAXIMUM_NOTES = 1_000

/** Answers other routers that ask for news. */
export class SyncServer {
  private readonly _knowledge: FleetKnowledge
  private readonly _instance: string
  private readonly _now: () => number
  private readonly _distance: () => number
  private readonly _loadSnapshot: LoadSnapshot

  /**
   * @param knowledge what is told
   * @param instance identity of this process, so that positions of an earlier one are not taken for its own
   * @param now the router's clock
   * @param distance of this router from the store, as `SyncAnswer.distance` says
   */
  constructor (knowledge: FleetKnowledge, instance: string, now: () => number, distance: () => number) {
    this._knowledge = knowledge
    this._instance = instance
    this._now = now
    this._distance = distance
    this._loadSnapshot = new LoadSnapshot(knowledge.endpoints, knowledge.loads, { now })
  }

  /**
   * Takes what a router tells and answers what it does not know.
   * @param request from the other router
   */
  answer (request: SyncRequest): SyncAnswer {
    const { configuration, endpoints, routers, holders, loads } = this._knowledge
    endpoints.expireLapsed()
    routers.heard(request.router, 0)
    for (const router of request.routers ?? []) routers.heard(router, router.heardAgoMs)
    loads.report(request.router.name, request.load)
    const news = holders.notesSince(this._positionIn(request.notesCursor), MAXIMUM_NOTES)
    for (const note of request.notes) holders.add(note.key, note.endpointId)
    return {
      name: routers.self.name,
      distance: this._distance(),
      ...this._configurationNews(request.configurationVersion),
      configurationAgeMs: this._age(configuration.verifiedAt),
      ...this._endpointNews(request.endpointsRevision),
      endpointsRevision: `${this._instance}:${endpoints.revision}`,
      endpointsAgeMs: this._age(this._knowledge.endpointsFreshness.verifiedAt),
      load: this._loadSnapshot.without(request.router.name),
      notes: news.notes,
      notesCursor: `${this._instance}:${news.cursor}`,
      routers: request.routers === undefined ? undefined : routers.contacts()
    }
  }

  private _configurationNews (version: number): Pick<SyncAnswer, 'configuration' | 'configurationPatches'> {
    const { configuration } = this._knowledge
    if (version >= configuration.version) return { configuration: undefined, configurationPatches: undefined }
    const patches = configuration.patchesSince(version)
    return { configuration: patches === undefined ? configuration.inForce?.configuration : undefined, configurationPatches: patches }
  }

  private _endpointNews (known: string | undefined): Pick<SyncAnswer, 'endpoints' | 'endpointChanges'> {
    const { endpoints } = this._knowledge
    const [instance, revision] = (known ?? '').split(':')
    const changes = instance === this._instance ? endpoints.changesSince(Number(revision)) : undefined
    if (changes === undefined) return { endpoints: [...endpoints.entries], endpointChanges: undefined }
    return { endpoints: undefined, endpointChanges: changes.length > 0 ? changes : undefined }
  }

  private _age (verifiedAt: number): number {
    return verifiedAt === -Infinity ? -1 : Math.ceil(this._now() - verifiedAt)
  }

  private _positionIn (cursor: string | undefined): number {
    const [instance, position] = (cursor ?? '').split(':')
    return instance === this._instance ? Number(position) : 0
  }
}

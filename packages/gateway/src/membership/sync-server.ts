import type { QuarantineNotes } from '../quarantine/quarantine-notes.js'
import type { AwaitedVersion } from '../configuration/awaited-version.js'
import type { ConfigurationNews } from '../transfers/configuration-news.js'
import type { ConfigurationRequest } from '../transfers/configuration-request.js'
import { ConfigurationUpdates } from '../transfers/configuration-updates.js'
import type { ConfigurationUpdate } from '../transfers/configuration-update.js'
import type { FleetState } from './fleet-state.js'
import { LoadSnapshot } from './load-snapshot.js'
import type { RouterKnowledge } from './router-knowledge.js'
import { REREGISTRATION_MS } from './reregistration-ms.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'
import { TransferSources } from '../transfers/transfer-sources.js'

/** Maximum number of holder notes in one answer; the remaining ones follow in the next answer. */
const MAXIMUM_NOTES = 1_000
/** Maximum number of changes concerning suspects in one answer; the remaining ones follow in the next answer. */
const MAXIMUM_QUARANTINE_CHANGES = 500

/** What an answer says of the endpoints. */
type EndpointUpdate = Pick<SyncAnswer, 'endpoints' | 'endpointChanges' | 'removedEndpoints'>

/** Answers sync requests of other routers. */
export class SyncServer {
  private readonly _state: FleetState
  private readonly _instance: string
  private readonly _now: () => number
  private readonly _distance: () => number
  private readonly _isStoreFailing: () => boolean
  private readonly _loadSnapshot: LoadSnapshot
  private readonly _updates: ConfigurationUpdates
  private readonly _transferSources: TransferSources

  /**
   * @param state state to answer from, which is also updated from requests
   * @param instance id of this process; positions and revisions of a previous process with another id are ignored
   * @param now returns the current time by the clock of this router
   * @param distance returns the distance of this router from the store, see `SyncAnswer.distance`
   * @param isStoreFailing returns whether this router fails to read the store; never by default
   */
  constructor (state: FleetState, instance: string, now: () => number, distance: () => number, isStoreFailing: () => boolean = () => false) {
    this._state = state
    this._instance = instance
    this._now = now
    this._distance = distance
    this._isStoreFailing = isStoreFailing
    this._loadSnapshot = new LoadSnapshot(state.endpoints, state.loads, { now })
    this._updates = new ConfigurationUpdates(state.configuration)
    this._transferSources = new TransferSources(state.routers.self, { now })
  }

  /**
   * Records the state in a request and returns the state that the requester does not have yet.
   * @param request request of the other router
   */
  answer (request: SyncRequest): SyncAnswer {
    const { endpoints, evacuations, fairness, holders, limits, outliers, quarantine, routers } = this._state
    const configurationNews = this.configurationNews(request)
    evacuations.learn(request.evacuations, request.router.name, false)
    endpoints.removeExpired()
    routers.recordContact(request.router, 0)
    for (const router of request.routers ?? []) routers.recordContact(router, router.heardAgoMs)
    this._recordLoads(request)
    const holderChanges = holders.notesSince(this._positionIn(request.notesCursor), MAXIMUM_NOTES)
    for (const note of request.notes) holders.add(note.key, note.endpointId)
    const quarantineChanges = quarantine.notesSince(this._positionIn(request.quarantineCursor), MAXIMUM_QUARANTINE_CHANGES)
    if (request.quarantine !== undefined) quarantine.apply(request.quarantine, false)
    if (request.limits !== undefined) limits.report(request.limits, request.router.name)
    if (request.demand !== undefined) fairness.recordDemand(request.router.name, request.demand)
    if (request.coldEndpoints !== undefined) this._state.warmUps.report(request.coldEndpoints)
    if (request.answers !== undefined) outliers.report(request.router.name, request.answers)
    return {
      ...configurationNews,
      distance: this._distance(),
      isStoreFailing: this._isStoreFailing() || undefined,
      evacuations: evacuations.newsFor(request.evacuations),
      ...this._endpointUpdate(request.endpointsRevision),
      endpointsRevision: `${this._instance}:${endpoints.revision}`,
      endpointsAgeMs: this._ageMs(this._state.endpointsFreshness.verifiedAt),
      outageEndedAgoMs: this._outageEndedAgoMs,
      ...this._loadOfOthers(request),
      notes: holderChanges.changes,
      notesCursor: `${this._instance}:${holderChanges.cursor}`,
      quarantine: isEmpty(quarantineChanges.notes) ? undefined : quarantineChanges.notes,
      quarantineCursor: `${this._instance}:${quarantineChanges.cursor}`,
      ...this._limitUpdate(request),
      workspaceShares: fairness.shares.length === 0 ? undefined : fairness.shares,
      ...this._ejectionUpdate(request),
      routers: request.routers === undefined && request.routerCount >= routers.size ? undefined : routers.contacts()
    }
  }

  /**
   * Records the version of a router and returns what this one knows of a newer one.
   * @param request request of the other router
   */
  configurationNews (request: ConfigurationRequest): ConfigurationNews {
    const { configuration, routers, storeEra } = this._state
    storeEra.learn(request.storeEra, request.router.name)
    if (storeEra.isSame(request.storeEra)) configuration.hearOf(request.configurationVersion, this._now(), request.router.name)
    return {
      name: routers.self.name,
      storeEra: storeEra.news,
      ...this._configurationChange(request),
      configurationKnownMs: configuration.version === 0 ? undefined : this._ageMs(configuration.awaited.inForceKnownSince),
      configurationAgeMs: this._ageMs(configuration.verifiedAt),
      configurationReadAgeMs: this._ageMs(configuration.readAt),
      configurationHeardAgeMs: this._ageMs(configuration.knownAt),
      awaitedConfiguration: this._awaitedConfiguration()
    }
  }

  /**
   * Returns the change of the configuration from a version to the one in force, however large it is.
   * @param fromVersion version of the requesting router
   */
  configurationUpdate (fromVersion: number): ConfigurationUpdate {
    return this._updates.since(fromVersion)
  }

  /**
   * Returns what this router knows of the fleet, for operators.
   * @param role what its sync says about its place in the fleet
   */
  knowledge (role: Pick<RouterKnowledge, 'isReader' | 'source'>): RouterKnowledge {
    const { configuration, endpointsFreshness, evacuations, routers, storeEra } = this._state
    return {
      router: routers.self.name,
      ...role,
      storeEra: storeEra.number ?? null,
      configurationVersion: configuration.version,
      configurationAgeMs: this._ageMs(configuration.verifiedAt),
      endpointsAgeMs: this._ageMs(endpointsFreshness.verifiedAt),
      evacuatedZones: [...evacuations.zones].sort(),
      routerCount: routers.size
    }
  }

  private _configurationChange (
    { router, configurationVersion: version, slowSources = [] }: ConfigurationRequest
  ): Pick<ConfigurationNews, 'configurationVersion' | 'configurationPatches' | 'configurationSource'> {
    const configurationVersion = this._state.configuration.version
    this._transferSources.record(router, version)
    const configurationPatches = this._updates.smallChangeSince(version)
    const isNewest = version >= Math.max(configurationVersion, this._transferSources.newestVersion)
    if (isNewest || configurationPatches !== undefined) return { configurationVersion, configurationPatches, configurationSource: undefined }
    const source = this._transferSources.assign(router.name, {
      ownVersion: configurationVersion, slowSources, hasChange: (other) => other > version && this._updates.isNearlyCurrent(other)
    })
    return { configurationVersion, configurationPatches: undefined, configurationSource: source?.address }
  }

  /** An outage tells nothing any more once live endpoints have had time to register again. */
  private get _outageEndedAgoMs (): number | undefined {
    const agoMs = Math.ceil(this._now() - this._state.endpointsFreshness.outageEndedAt)
    return agoMs < REREGISTRATION_MS ? agoMs : undefined
  }

  private _awaitedConfiguration (): AwaitedVersion | undefined {
    const { version, statedAt, elapsedMs, lackingSince } = this._state.configuration.awaited
    return version === undefined ? undefined : { version, statedAgoMs: this._ageMs(statedAt), elapsedMs, knownMs: this._ageMs(lackingSince) }
  }

  private _recordLoads ({ router, load, relayedLoads }: SyncRequest): void {
    const { loads, routers } = this._state
    const reportsLoad = relayedLoads !== undefined || Object.keys(load).length > 0
    if (!reportsLoad) return
    const relayed = (relayedLoads ?? []).filter((report) => report.router !== routers.self.name)
    loads.reportAll([{ router: router.name, ageMs: 0, load }, ...relayed])
  }

  private _loadOfOthers ({ router, relayedLoads }: SyncRequest): Pick<SyncAnswer, 'load' | 'loadRouters'> {
    const relayed = (relayedLoads ?? []).map((report) => report.router)
    const { load, routers } = this._loadSnapshot.without([router.name, ...relayed])
    return { load, loadRouters: routers }
  }

  private _limitUpdate ({ router, limitsRevision, permitRequest }: SyncRequest): Pick<SyncAnswer, 'limits' | 'coldEndpoints' | 'limitsRevision' | 'permits'> {
    const { limits, permits, warmUps } = this._state
    const revision = `${this._instance}:${limits.revision + warmUps.revision}`
    const issued = permitRequest === undefined ? [] : permits.issue(router.name, permitRequest)
    return {
      limits: revision === limitsRevision || limits.revision === 0 ? undefined : limits.notes(),
      coldEndpoints: revision === limitsRevision || warmUps.revision === 0 ? undefined : warmUps.notes(),
      limitsRevision: revision,
      permits: issued.length === 0 ? undefined : issued
    }
  }

  private _ejectionUpdate ({ ejectionsRevision }: SyncRequest): Pick<SyncAnswer, 'ejections' | 'ejectionsRevision'> {
    const { outliers } = this._state
    if (!outliers.isEnabled) return {}
    const revision = `${this._instance}:${outliers.revision}`
    return { ejections: revision === ejectionsRevision ? undefined : outliers.notes(), ejectionsRevision: revision }
  }

  private _endpointUpdate (knownRevision: string | undefined): EndpointUpdate {
    const { endpoints, warmUps } = this._state
    const [instance, revision] = (knownRevision ?? '').split(':')
    const changes = instance === this._instance ? endpoints.changesSince(Number(revision)) : undefined
    if (changes === undefined) return this._allEndpoints()
    const endpointChanges = changes.map(({ id, entry, removal }) => ({ id, entry: entry === undefined ? undefined : warmUps.withTimeLeft(entry), removal }))
    return { endpoints: undefined, endpointChanges: endpointChanges.length > 0 ? endpointChanges : undefined }
  }

  private _allEndpoints (): EndpointUpdate {
    const { endpoints, warmUps } = this._state
    return {
      endpoints: Array.from(endpoints.entries, (entry) => warmUps.withTimeLeft(entry)),
      endpointChanges: undefined,
      removedEndpoints: endpoints.removals.length === 0 ? undefined : endpoints.removals
    }
  }

  private _ageMs (verifiedAt: number): number {
    return verifiedAt === -Infinity ? -1 : Math.ceil(this._now() - verifiedAt)
  }

  private _positionIn (cursor: string | undefined): number {
    const [instance, position] = (cursor ?? '').split(':')
    return instance === this._instance ? Number(position) : 0
  }
}

function isEmpty ({ crashes, clearances }: QuarantineNotes): boolean {
  return crashes.length === 0 && clearances.length === 0
}

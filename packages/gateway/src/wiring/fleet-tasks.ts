import { ConfigurationReadings } from '../configuration/configuration-readings.js'
import { selectConfigurations } from '../configuration/select-configurations.js'
import { EvacuationReadings } from '../evacuation/evacuation-readings.js'
import { EndpointReadings } from '../membership/endpoint-readings.js'
import { createFleetAgeLimits } from '../membership/create-fleet-age-limits.js'
import type { FleetAgeLimits } from '../membership/fleet-age-limits.js'
import { connectLimits } from '../membership/connect-limits.js'
import { connectOutliers } from '../membership/connect-outliers.js'
import { FleetSync } from '../membership/fleet-sync.js'
import { OutageDetector } from '../membership/outage-detector.js'
import { OverdueReading } from '../membership/overdue-reading.js'
import { RouterAnnouncer } from '../membership/router-announcer.js'
import { StatePersistence } from '../membership/state-persistence.js'
import { StoreFeed } from '../membership/store-feed.js'
import { StoredQuarantine } from '../membership/stored-quarantine.js'
import { SyncClient } from '../membership/sync-client.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { OperatorRecord } from '../model/operator-record.js'
import { ConfigurationTransfer } from '../transfers/configuration-transfer.js'
import { ContentReading } from '../transfers/content-reading.js'
import type { FleetTasksOptions } from './fleet-tasks-options.js'

/** Maximum long-poll wait for a new record of the operator; bounds the staleness of API keys. */
const MAXIMUM_CONFIGURATION_WAIT_MS = 1_000
/** Part of the age at which a router is not followed any more that is not spent with the wait for a new record. */
const CONFIGURATION_WAIT_MARGIN_MS = 400
/** Pause between two reads of the operator's records. */
const CONFIGURATION_PAUSE_MS = 20
/** Long-poll wait for a change of the endpoints. */
const ENDPOINTS_WAIT_MS = 300
/** Pause between two reads of the endpoints. Each endpoint reports about once a second. */
const ENDPOINTS_PAUSE_MS = 450

/** Background tasks that keep the state of a router up to date from the store and the other routers, and save what only routers know. */
export class FleetTasks {
  private readonly _options: FleetTasksOptions
  private readonly _operatorFeed: StoreFeed<OperatorRecord>
  private readonly _endpointFeed: StoreFeed<EndpointEntry>
  private readonly _sync: FleetSync
  private readonly _overdueReading: OverdueReading
  private readonly _transfer: ConfigurationTransfer
  private readonly _contentReading: ContentReading
  private _isRunning = false

  /**
   * @param options state, sources and clock
   */
  constructor (options: FleetTasksOptions) {
    this._options = options
    this._operatorFeed = this._createOperatorFeed()
    this._endpointFeed = this._createEndpointFeed()
    this._transfer = this._createTransfer()
    this._sync = this._createSync()
    this._overdueReading = new OverdueReading({ isReader: () => this._sync.isReader, isOutageSuspected: () => this._sync.isOutageSuspected }, options.clock)
    this._contentReading = this._createContentReading()
  }

  /** Whether this router has to read the store on behalf of the fleet. */
  get isReader (): boolean {
    return this._sync.isReader
  }

  /** Name of the router that this one follows; undefined if it reads the store itself and follows none. */
  get source (): string | undefined {
    return this._sync.source
  }

  /** Number of routers between this router and the store; Infinity if it neither reads the store nor follows a router. */
  get distance (): number {
    return this._readsStore ? 0 : this._sync.followingDistance
  }

  /** Whether this router has failed to read the store a moment ago. */
  get isStoreFailing (): boolean {
    return this._operatorFeed.hasJustFailed || this._endpointFeed.hasJustFailed
  }

  /** Whether a seed has answered since the start, or none is expected to. */
  get hasAskedSeeds (): boolean {
    return this._sync.hasAskedSeeds
  }

  /**
   * Runs all tasks until aborted.
   * @param signal aborts them
   */
  async run (signal: AbortSignal): Promise<void> {
    this._isRunning = true
    const { state: { holders, quarantine, routers }, store, clock, log } = this._options
    const storedQuarantine = new StoredQuarantine({ store, quarantine, isReader: () => this._sync.isReader }, clock, log)
    const otherParts = [storedQuarantine.savedPart]
    const persistence = new StatePersistence({ store, holders, otherParts, isSaving: () => this._mayWriteToStore }, log)
    const announcer = new RouterAnnouncer(store, routers, () => this._mayWriteToStore, log)
    announcer.onLearned((learned) => this._sync.contactSoon(learned))
    const tasks = [persistence, storedQuarantine, this._operatorFeed, this._endpointFeed, this._sync, announcer]
    await Promise.all(tasks.map((task) => task.run(signal)))
  }

  private get _readsStore (): boolean {
    return this._isRunning && this._operatorFeed.isUpToDate && this._endpointFeed.isUpToDate
  }

  private get _mayWriteToStore (): boolean {
    return this._sync.isConfirmedReader && this._readsStore
  }

  /** Whether this router has to read the operator's records although it is not the reader. */
  private get _isConfigurationOverdue (): boolean {
    const { configuration } = this._options.state
    const { configuration: limits } = this._ageLimits
    return this._overdueReading.isDue(configuration.heardAt, limits.readMs) || this._contentReading.isDue
  }

  private get _ageLimits (): FleetAgeLimits {
    return createFleetAgeLimits(this._options.propagationBounds())
  }

  private _createOperatorFeed (): StoreFeed<OperatorRecord> {
    const { state: { configuration, evacuations }, store, clock, log, onProgress } = this._options
    const configurationReadings = new ConfigurationReadings(configuration, store.era)
    const evacuationReadings = new EvacuationReadings(evacuations, store.era)
    return new StoreFeed({
      topic: 'configuration',
      reader: store.operatorRecords,
      waitMs: () => Math.min(MAXIMUM_CONFIGURATION_WAIT_MS, this._ageLimits.configuration.followMs - CONFIGURATION_WAIT_MARGIN_MS),
      pauseMs: CONFIGURATION_PAUSE_MS,
      shouldRead: () => this._sync.isReader || configuration.readAt === -Infinity || !evacuations.isKnown || this._isConfigurationOverdue,
      onPage: (page, readAt) => {
        // Requests that arrive with a new configuration must not reach a zone that was evacuated before.
        evacuationReadings.apply(page, readAt)
        configurationReadings.apply(selectConfigurations(page), readAt)
        configuration.awaited.endReading()
        onProgress()
      },
      onAnswerBegun: (completeAsOf) => configuration.markHeard(completeAsOf),
      onChangeBegun: () => configuration.awaited.beginReading(),
      onFailure: () => {
        configuration.awaited.endReading()
        this._overdueReading.recordFailure()
      }
    }, clock, log)
  }

  private _createEndpointFeed (): StoreFeed<EndpointEntry> {
    const { state: { endpoints, endpointsFreshness }, store, clock, log, onProgress } = this._options
    const outageDetector = new OutageDetector(clock, (time) => this._sync.hasHeardOthersSince(time), endpointsFreshness)
    const readings = new EndpointReadings(endpoints, endpointsFreshness, outageDetector, store.era)
    return new StoreFeed({
      topic: 'endpoints',
      reader: store.endpoints,
      waitMs: () => ENDPOINTS_WAIT_MS,
      pauseMs: ENDPOINTS_PAUSE_MS,
      shouldRead: () => this._sync.isReader || this._overdueReading.isDue(endpointsFreshness.verifiedAt, this._ageLimits.endpoints.readMs),
      onPage: (page, readAt) => {
        readings.apply(page, readAt)
        onProgress()
      },
      onFailure: () => {
        outageDetector.recordFailure()
        this._overdueReading.recordFailure()
      }
    }, clock, log)
  }

  private _createTransfer (): ConfigurationTransfer {
    const { state, peerClient, clock, log } = this._options
    return new ConfigurationTransfer(state.configuration, async (address, fromVersion, attempt) => {
      return await peerClient.configurationUpdate(address, fromVersion, attempt)
    }, clock, log)
  }

  private _createContentReading (): ContentReading {
    const { clock, state: { configuration: { awaited }, routers } } = this._options
    return new ContentReading({
      awaited,
      transfer: this._transfer,
      overdueReading: this._overdueReading,
      hasHeardOthersSince: (time) => this._sync.hasHeardOthersSince(time),
      ownRank: () => routers.ownRank
    }, clock)
  }

  private _createSync (): FleetSync {
    const { state, peerClient, seeds, clock, log, onProgress } = this._options
    const client = new SyncClient(state, clock, peerClient, this._transfer, onProgress)
    const isStoreFailing = (): boolean => this._operatorFeed.isFailing || this._endpointFeed.isFailing
    const sync = new FleetSync({ routers: state.routers, client, seeds, isStoreFailing, ageLimits: () => this._ageLimits }, clock, log)
    this._transfer.listen(() => sync.syncSoon())
    state.quarantine.onNews(() => sync.syncSoon())
    state.evacuations.onNews(() => sync.syncSoon())
    sync.onSeedsAsked(onProgress)
    connectLimits(state, sync)
    state.fairness.setFollowing(() => sync.isFollowing)
    connectOutliers(state, sync)
    return sync
  }
}

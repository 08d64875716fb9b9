import { configurationAgeMs } from '../membership/configuration-age-ms.js'
import type { FleetState } from '../membership/fleet-state.js'
import type { ConfigurationNews } from './configuration-news.js'
import type { ConfigurationRequest } from './configuration-request.js'
import type { ConfigurationTransfer } from './configuration-transfer.js'

/** Time for which a version is lacked from which further routers are asked for a source. */
const SOURCE_OVERDUE_MS = 300
/** The same time for a version that the reader is still receiving from the store. */
const READING_OVERDUE_MS = 1_000

/** What of the state of a router the exchange needs. */
type ExchangedState = Pick<FleetState, 'configuration' | 'routers' | 'storeEra'>

/** Exchanges the configuration in the requests of one router to others. */
export class ConfigurationExchange {
  private readonly _state: ExchangedState
  private readonly _transfer: ConfigurationTransfer
  private _isAwaitingSource = false

  /**
   * @param state configuration, era of the store and entry of this router
   * @param transfer transfers large changes
   */
  constructor (state: ExchangedState, transfer: ConfigurationTransfer) {
    this._state = state
    this._transfer = transfer
  }

  /** Whether the last answer announced a large change that no router was free to send. */
  get isAwaitingSource (): boolean {
    return this._isAwaitingSource
  }

  /** Whether this router knows that it lacks a version. */
  get isAwaitingVersion (): boolean {
    return this._state.configuration.awaited.version !== undefined
  }

  /** Whether this router has lacked a version for some time and no router is sending it in time. */
  get isSourceOverdue (): boolean {
    const { awaited } = this._state.configuration
    if (awaited.version === undefined || this._transfer.isInTime) return false
    return awaited.elapsedMs >= (awaited.isNumbered ? SOURCE_OVERDUE_MS : READING_OVERDUE_MS)
  }

  /** Returns what a request states. */
  requestFields (): ConfigurationRequest {
    const { configuration, routers, storeEra } = this._state
    return {
      router: routers.self,
      storeEra: storeEra.news,
      configurationVersion: configuration.version,
      slowSources: this._transfer.slowSources
    }
  }

  /**
   * Applies what another router has answered.
   * @param address address of that router
   * @param news its answer
   * @param sentAt time at which the request was sent, by the clock
   */
  apply (address: string, news: ConfigurationNews, sentAt: number): void {
    const { configuration, storeEra } = this._state
    storeEra.learn(news.storeEra, news.name)
    if (news.configurationPatches !== undefined) configuration.adoptPatches(news.configurationPatches, news.name)
    this._hearOf(news, sentAt)
    this._startTransfer(address, news)
    // Ages of an earlier era say nothing about what the store holds now.
    if (storeEra.isSame(news.storeEra)) this._applyAges(news, sentAt)
  }

  /**
   * The answer was created after the request was sent. Counting its ages from the time of sending can only overestimate
   * them.
   */
  private _applyAges (news: ConfigurationNews, sentAt: number): void {
    const { configuration } = this._state
    const heardAgeMs = configurationAgeMs(news)
    if (heardAgeMs >= 0) configuration.markHeard(sentAt - heardAgeMs)
    if (configuration.version < news.configurationVersion) return
    if (news.configurationReadAgeMs >= 0) configuration.markRead(sentAt - news.configurationReadAgeMs)
    if (news.configurationAgeMs >= 0) configuration.markVerified(sentAt - news.configurationAgeMs)
  }

  /** A router that has an older version than this one may lack just what this one has. */
  private _hearOf ({ name, storeEra, configurationVersion, configurationKnownMs = 0, awaitedConfiguration: awaited }: ConfigurationNews, sentAt: number): void {
    const { configuration } = this._state
    if (!this._state.storeEra.isSame(storeEra)) return
    configuration.hearOf(configurationVersion, sentAt, name, sentAt - configurationKnownMs)
    if (awaited === undefined || configurationVersion < configuration.version) return
    configuration.hearOf(awaited.version, sentAt - awaited.statedAgoMs, name, sentAt - (awaited.knownMs ?? 0))
  }

  /** Requests a large change from its source, if this router lacks one. */
  private _startTransfer (address: string, { configurationVersion, configurationSource: source }: ConfigurationNews): void {
    const { configuration } = this._state
    const hasChange = configuration.version < configurationVersion
    const lacksChange = hasChange || configuration.awaited.isNumbered
    this._isAwaitingSource = hasChange && source === undefined && !this._transfer.isInTime
    if (lacksChange && source !== undefined) this._transfer.start(source, hasChange ? address : source)
  }
}

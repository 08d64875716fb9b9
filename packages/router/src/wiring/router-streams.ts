import { ConfigurationFold } from '@mimosarock/coordination/configuration/configuration-fold.js'
import { ConfigurationReplica } from '@mimosarock/coordination/configuration/configuration-replica.js'
import { GroupAppender } from '@mimosarock/coordination/group-appender.js'
import { LeaseFold } from '@mimosarock/coordination/leases/lease-fold.js'
import type { LogFold } from '@mimosarock/coordination/log-fold.js'
import { StreamReplica } from '@mimosarock/coordination/stream-replica.js'
import type { LeaseStream } from './lease-stream.js'
import type { RouterProcessOptions } from './router-process-options.js'

const CONFIGURATION_STREAM = 'configuration'
const LONG_POLL_MS = 10_000
/** Routers that do not tail a stream learn from peers; this only bounds how long they can miss news. */
const SLOW_POLL_MS = 5_000
const LEASE_SLOW_POLL_MS = 30_000
const LEASE_STREAM = 'leases'
const READ_TIMEOUT_MS = 2_000
const APPEND_TIMEOUT_MS = 1_000
const MAXIMUM_RECORD_BYTES = 524_288
const CONFIGURATION_GROUP_MS = 20

/** The streams of the log service that a router follows and writes. */
export class RouterStreams {
  readonly configuration: ConfigurationReplica
  readonly configurationAppender: GroupAppender
  readonly leases: LeaseStream
  private readonly _options: RouterProcessOptions
  /** Each stream with the appender that writes it, for checkpoints. */
  readonly written: Array<{ readonly replica: StreamReplica, readonly appender: GroupAppender }> = []
  private _readsConfiguration = (): boolean => true
  private _readsLeases = (): boolean => true
  private readonly _replicas: StreamReplica[] = []
  private readonly _appenders: GroupAppender[] = []

  /**
   * @param options settings and the log service
   * @param routerId this router, and the writer of its records
   */
  constructor (options: RouterProcessOptions, routerId: string) {
    this._options = options
    const configurationFold = new ConfigurationFold()
    const configurationReplica = this._replica(CONFIGURATION_STREAM, configurationFold, () => this._readsConfiguration(), SLOW_POLL_MS)
    this.configuration = new ConfigurationReplica(configurationReplica, configurationFold)
    this.configurationAppender = this._appender(configurationReplica, routerId, CONFIGURATION_GROUP_MS)
    const fold = new LeaseFold()
    const replica = this._replica(LEASE_STREAM, fold, () => this._readsLeases(), LEASE_SLOW_POLL_MS)
    this.leases = { replica, fold, appender: this._appender(replica, routerId, CONFIGURATION_GROUP_MS) }
  }

  /**
   * Bounds the log service's reads in a large fleet.
   * @param readsConfiguration whether this router tails the configuration by long polls
   * @param readsLeases whether it tails the leases
   */
  chooseReaders (readsConfiguration: () => boolean, readsLeases: () => boolean): void {
    this._readsConfiguration = readsConfiguration
    this._readsLeases = readsLeases
  }

  /**
   * Follows and writes all streams until the signal aborts.
   * @param signal ends all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([...this._replicas, ...this._appenders].map(async (part) => await part.run(signal)))
  }

  private _replica (stream: string, fold: LogFold, isReader: () => boolean, slowPollMs: number): StreamReplica {
    const { logService, clock, eventLog } = this._options
    const replica = new StreamReplica({
      stream, logService, fold, clock, eventLog, longPollMs: LONG_POLL_MS, slowPollMs, readTimeoutMs: READ_TIMEOUT_MS, isReader
    })
    this._replicas.push(replica)
    return replica
  }

  private _appender (replica: StreamReplica, writerId: string, groupIntervalMs: number): GroupAppender {
    const { logService, clock, eventLog } = this._options
    const appender = new GroupAppender({
      logService, replica, writerId, clock, eventLog, groupIntervalMs, appendTimeoutMs: APPEND_TIMEOUT_MS, maximumRecordBytes: MAXIMUM_RECORD_BYTES
    })
    this._appenders.push(appender)
    this.written.push({ replica, appender })
    return appender
  }
}

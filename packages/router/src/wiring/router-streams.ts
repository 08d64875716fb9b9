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
/**
 * Poll interval of routers that do not tail the configuration, in milliseconds. They receive new records from their
 * peers; the poll only limits the delay if that fails.
 */
const SLOW_POLL_MS = 5_000
const LEASE_SLOW_POLL_MS = 30_000
const LEASE_STREAM = 'leases'
const READ_TIMEOUT_MS = 2_000
const APPEND_TIMEOUT_MS = 1_000
const MAXIMUM_RECORD_BYTES = 524_288
const GROUP_INTERVAL_MS = 20

/** Log service streams that a router reads and writes: the configuration and the leases. */
export class RouterStreams {
  readonly configuration: ConfigurationReplica
  readonly configurationAppender: GroupAppender
  readonly leases: LeaseStream
  private readonly _options: RouterProcessOptions
  /** Replica and appender of each stream, for the checkpoint writers. */
  readonly writtenStreams: Array<{ readonly replica: StreamReplica, readonly appender: GroupAppender }> = []
  private _readsConfiguration = (): boolean => true
  private _readsLeases = (): boolean => true
  private readonly _replicas: StreamReplica[] = []
  private readonly _appenders: GroupAppender[] = []

  /**
   * @param options log service, clock and event log
   * @param routerId id of this router, used as the writer id of its records
   */
  constructor (options: RouterProcessOptions, routerId: string) {
    this._options = options
    const configurationFold = new ConfigurationFold()
    const configurationReplica = this._createReplica(CONFIGURATION_STREAM, configurationFold, () => this._readsConfiguration(), SLOW_POLL_MS)
    this.configuration = new ConfigurationReplica(configurationReplica, configurationFold)
    this.configurationAppender = this._createAppender(configurationReplica, routerId, GROUP_INTERVAL_MS)
    const leaseFold = new LeaseFold()
    const leaseReplica = this._createReplica(LEASE_STREAM, leaseFold, () => this._readsLeases(), LEASE_SLOW_POLL_MS)
    this.leases = { replica: leaseReplica, fold: leaseFold, appender: this._createAppender(leaseReplica, routerId, GROUP_INTERVAL_MS) }
  }

  /**
   * Sets the predicates that select the readers of each stream, which limits the read load of the log service in a
   * large fleet. Until then this router tails all streams by long polls.
   * @param readsConfiguration returns whether this router tails the configuration by long polls
   * @param readsLeases returns whether this router tails the leases by long polls
   */
  setReaderPredicates (readsConfiguration: () => boolean, readsLeases: () => boolean): void {
    this._readsConfiguration = readsConfiguration
    this._readsLeases = readsLeases
  }

  /**
   * Reads and writes all streams until the signal aborts.
   * @param signal stops all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([...this._replicas, ...this._appenders].map(async (task) => await task.run(signal)))
  }

  private _createReplica (stream: string, fold: LogFold, isReader: () => boolean, slowPollMs: number): StreamReplica {
    const { logService, clock, eventLog } = this._options
    const replica = new StreamReplica({
      stream, logService, fold, clock, eventLog, longPollMs: LONG_POLL_MS, slowPollMs, readTimeoutMs: READ_TIMEOUT_MS, isReader
    })
    this._replicas.push(replica)
    return replica
  }

  private _createAppender (replica: StreamReplica, writerId: string, groupIntervalMs: number): GroupAppender {
    const { logService, clock, eventLog } = this._options
    const appender = new GroupAppender({
      logService, replica, writerId, clock, eventLog, groupIntervalMs, appendTimeoutMs: APPEND_TIMEOUT_MS, maximumRecordBytes: MAXIMUM_RECORD_BYTES
    })
    this._appenders.push(appender)
    this.writtenStreams.push({ replica, appender })
    return appender
  }
}

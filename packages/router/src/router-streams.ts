import { ConfigurationFold } from '@mimosarock/coordination/configuration/configuration-fold.js'
import { ConfigurationReplica } from '@mimosarock/coordination/configuration/configuration-replica.js'
import { GroupAppender } from '@mimosarock/coordination/group-appender.js'
import type { LogFold } from '@mimosarock/coordination/log-fold.js'
import { StreamReplica } from '@mimosarock/coordination/stream-replica.js'
import type { RouterProcessOptions } from './router-process-options.js'

const CONFIGURATION_STREAM = 'configuration'
const LONG_POLL_MS = 10_000
const SLOW_POLL_MS = 1_000
const READ_TIMEOUT_MS = 2_000
const APPEND_TIMEOUT_MS = 1_000
const MAXIMUM_RECORD_BYTES = 524_288
const CONFIGURATION_GROUP_MS = 20

/** The streams of the log service that a router follows and writes. */
export class RouterStreams {
  readonly configuration: ConfigurationReplica
  readonly configurationAppender: GroupAppender
  private readonly _options: RouterProcessOptions
  /** Each stream with the appender that writes it, for checkpoints. */
  readonly written: Array<{ readonly replica: StreamReplica, readonly appender: GroupAppender }> = []
  private readonly _replicas: StreamReplica[] = []
  private readonly _appenders: GroupAppender[] = []

  /**
   * @param options settings and the log service
   * @param routerId this router, and the writer of its records
   */
  constructor (options: RouterProcessOptions, routerId: string) {
    this._options = options
    const configurationFold = new ConfigurationFold()
    const configurationReplica = this._replica(CONFIGURATION_STREAM, configurationFold)
    this.configuration = new ConfigurationReplica(configurationReplica, configurationFold)
    this.configurationAppender = this._appender(configurationReplica, routerId, CONFIGURATION_GROUP_MS)
  }

  /**
   * Follows and writes all streams until the signal aborts.
   * @param signal ends all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([...this._replicas, ...this._appenders].map(async (part) => await part.run(signal)))
  }

  private _replica (stream: string, fold: LogFold): StreamReplica {
    const { logService, clock, eventLog } = this._options
    const replica = new StreamReplica({
      stream, logService, fold, clock, eventLog, longPollMs: LONG_POLL_MS, slowPollMs: SLOW_POLL_MS, readTimeoutMs: READ_TIMEOUT_MS
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

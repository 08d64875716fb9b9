import { PassThrough } from 'node:stream'
import { create } from '@bufbuild/protobuf'
import { GroupAppender } from '@mimosarock/coordination/group-appender.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { StreamName } from '@mimosarock/coordination/stream-name.js'
import { StreamReplica } from '@mimosarock/coordination/stream-replica.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import { ConfigurationCommands } from '@mimosarock/coordination/configuration/configuration-commands.js'
import { ConfigurationFold } from '@mimosarock/coordination/configuration/configuration-fold.js'
import { ConfigurationReplica } from '@mimosarock/coordination/configuration/configuration-replica.js'
import { AccessTokens } from '@mimosarock/router/access/access-tokens.js'
import { CommandService } from '@mimosarock/router/operators/command-service.js'
import type { OperationAdministration } from '@mimosarock/router/operators/operation-administration.js'
import { OperatorServer } from '@mimosarock/router/operators/operator-server.js'
import { QueryService } from '@mimosarock/router/operators/query-service.js'
import type { OperationRecord, RouterStatus } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { OperationRecordSchema, OperationState, RouterStatusSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { LogServiceStandIn } from '@mimosarock/stand-ins/log-service-stand-in.js'
import { createOperatorCli } from '../create-operator-cli.js'
import { runCli } from '../run-cli.js'

const KEY = '0198c5d0-0000-7000-8000-000000000001'

class SingleOperationAdministration implements OperationAdministration {
  private readonly _record: OperationRecord = create(OperationRecordSchema, {
    workspace: 'alpha', key: KEY, route: 'gifts', state: OperationState.IN_DOUBT, routerId: 'r1'
  })

  list (): readonly OperationRecord[] {
    return [this._record]
  }

  get (_workspace: string, key: string): OperationRecord | undefined {
    return key === KEY ? this._record : undefined
  }

  async settle (): Promise<number> {
    if (this._record.state !== OperationState.IN_DOUBT) throw new MimosarockError(ResultCode.SETTLEMENT_REFUSED, 'not in doubt')
    this._record.state = OperationState.NOT_RUN
    return 7
  }
}

/** Operator server of one router, backed by an in-memory log service, and a command line client for it. */
export class OperatorFixture {
  readonly log = new LogServiceStandIn()
  readonly configuration: ConfigurationReplica
  readonly server: OperatorServer
  /** Revisions that other live routers report. */
  readonly otherRevisions: number[] = []
  private readonly _auditTrail: AuditTrail
  private readonly _stopController = new AbortController()

  constructor (tokens: ReadonlyMap<string, string> = new Map()) {
    const common = { clock: new SystemClock(), eventLog: new SilentEventLog(), logService: this.log }
    const fold = new ConfigurationFold()
    const replica = new StreamReplica({ ...common, stream: StreamName.CONFIGURATION, fold, longPollMs: 1_000, slowPollMs: 20, readTimeoutMs: 500 })
    this.configuration = new ConfigurationReplica(replica, fold)
    const appender = new GroupAppender({ ...common, replica, writerId: 'r1-1', groupIntervalMs: 1, appendTimeoutMs: 300, maximumRecordBytes: 65_536 })
    const auditTrail = new AuditTrail({ ...common, appender })
    this._auditTrail = auditTrail
    const commands = new ConfigurationCommands({ ...common, configuration: this.configuration, appender, auditTrail })
    const operations = new SingleOperationAdministration()
    this.server = new OperatorServer({
      address: '127.0.0.1:0',
      commandService: new CommandService({ configurationCommands: commands, operations, auditTrail }),
      queryService: new QueryService({
        ...common,
        configuration: this.configuration,
        operations,
        fleetStatus: { routers: () => this._routers(), endpoints: () => [] }
      }),
      tokens: new AccessTokens(tokens),
      eventLog: common.eventLog
    })
    for (const task of [replica, appender, auditTrail]) task.run(this._stopController.signal)
  }

  /** Starts the server and waits until the configuration is known to be current. */
  async start (): Promise<void> {
    await this.server.start()
    while (!this.configuration.proven) await new Promise((resolve) => setTimeout(resolve, 5))
  }

  async stop (): Promise<void> {
    this._stopController.abort()
    await this.server.stop()
  }

  /** Runs a command line in this process; returns its output followed by its exit code. */
  async run (line: string): Promise<string> {
    const stdout = new PassThrough()
    const stderr = new PassThrough()
    const commandArguments = line.split(' ').concat(['--router', `http://${this.server.address}`])
    const context = { env: {}, stdin: process.stdin, stdout, stderr, colorDepth: 1 }
    const code = await runCli(createOperatorCli(), commandArguments, context)
    while (this._auditTrail.pendingCount > 0) await new Promise((resolve) => setTimeout(resolve, 1))
    return `${String(stdout.read() ?? '')}${String(stderr.read() ?? '')}exit ${code}`
  }

  private _routers (): RouterStatus[] {
    const revisions = [this.configuration.current()?.revision ?? 0, ...this.otherRevisions]
    return revisions.map((revision, index) => create(RouterStatusSchema, {
      routerId: `r${index + 1}`, availabilityZone: 'a', state: 'live', revision: BigInt(revision)
    }))
  }
}

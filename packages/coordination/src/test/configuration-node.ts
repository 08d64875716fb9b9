import { create } from '@bufbuild/protobuf'
import type { ChangeConfigurationResponse, Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  ActorSchema, ConfigurationChangeSchema, ConfigurationEditSchema, RecoverConfigurationRequestSchema, WorkspaceSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { CheckpointWriter } from '../checkpoints/checkpoint-writer.js'
import { AuditTrail } from '../configuration/audit-trail.js'
import { ConfigurationCommands } from '../configuration/configuration-commands.js'
import { ConfigurationFold } from '../configuration/configuration-fold.js'
import { ConfigurationReplica } from '../configuration/configuration-replica.js'
import { GroupAppender } from '../group-appender.js'
import type { LogService } from '../log-service.js'
import type { RouterIdentity } from '../router-identity.js'
import { SilentEventLog } from '../silent-event-log.js'
import { PeerCatchUp } from '../catch-up/peer-catch-up.js'
import { StreamName } from '../stream-name.js'
import { StreamReplica } from '../stream-replica.js'
import { SystemClock } from '../system-clock.js'
import type { ConfigurationNodeOptions } from './configuration-node-options.js'

/** Configuration components of one router, without its servers. */
export class ConfigurationNode {
  readonly self: RouterIdentity
  readonly replica: StreamReplica
  readonly configuration: ConfigurationReplica
  readonly commands: ConfigurationCommands
  readonly peerCatchUp: PeerCatchUp
  private readonly _fleet: ConfigurationNode[]
  private readonly _ended = new AbortController()

  constructor (options: ConfigurationNodeOptions) {
    const { id, fleet, network, retentionMs = 3_600_000 } = options
    const logService: LogService = options.logService
    const common = { clock: new SystemClock(), eventLog: new SilentEventLog(), logService }
    this._fleet = fleet
    this.self = { id, availabilityZone: 'a', peerAddress: id, forwardAddress: id, leaving: false }
    const fold = new ConfigurationFold()
    this.replica = new StreamReplica({ ...common, stream: StreamName.CONFIGURATION, fold, longPollMs: 200, slowPollMs: 20, readTimeoutMs: 500 })
    this.configuration = new ConfigurationReplica(this.replica, fold)
    const appender = new GroupAppender({ ...common, replica: this.replica, writerId: id, groupIntervalMs: 1, appendTimeoutMs: 300, maximumRecordBytes: 65_536 })
    const auditTrail = new AuditTrail({ ...common, appender })
    this.commands = new ConfigurationCommands({ ...common, configuration: this.configuration, appender, auditTrail })
    const messenger = network.messenger(id)
    this.peerCatchUp = new PeerCatchUp({
      ...common,
      streams: [{
        replica: this.replica,
        acceptsPeerProof: () => fleet.every((node) => (node.configuration.current()?.revision ?? 0) <= fold.index.revision)
      }],
      messenger,
      bytesPerSecond: 1_000_000,
      burstBytes: 1_000_000,
      graceMs: 1
    })
    const membership = { self: this.self, live: () => fleet.map((node) => node.self), onChange: () => () => {} }
    const writer = new CheckpointWriter({
      ...common, replica: this.replica, appender, membership, retentionMs, maximumPartBytes: options.maximumPartBytes ?? 65_536, bytesPerSecond: 1_000_000, maximumRecords: options.maximumRecords ?? 100_000
    })
    for (const task of [this.replica, appender, auditTrail, this.peerCatchUp, writer]) task.run(this._ended.signal)
    fleet.push(this)
  }

  /** Revision in force; -1 until one is proved current. */
  get revision (): number {
    return this.configuration.proven ? this.configuration.fold.index.revision : -1
  }

  /** Sends the applied offset of this node to every other node, as heartbeats do. */
  sendHeartbeats (): void {
    for (const node of this._fleet) {
      if (node !== this) node.peerCatchUp.incoming(this.self, JSON.parse(JSON.stringify(this.peerCatchUp.outgoing())))
    }
  }

  /** Submits a change that sets a workspace, based on the revision of this node. */
  async setWorkspace (name: string, priority = 1): Promise<ChangeConfigurationResponse> {
    const value = create(WorkspaceSchema, { name, priority })
    return await this.commands.submit(create(ConfigurationChangeSchema, {
      changeId: `${this.self.id}-${name}`,
      basedOnRevision: BigInt(this.configuration.fold.index.revision),
      edits: [create(ConfigurationEditSchema, { kind: { case: 'setWorkspace', value } })]
    }), false)
  }

  async recover (lastKnownRevision: number, configuration: Configuration): Promise<ChangeConfigurationResponse> {
    const request = create(RecoverConfigurationRequestSchema, { lastKnownRevision: BigInt(lastKnownRevision), configuration })
    return await this.commands.recover(request, create(ActorSchema, { name: 'ann' }))
  }

  /** Stops the node abruptly, as the loss of its VM would. */
  stop (): void {
    this._ended.abort()
    this._fleet.splice(this._fleet.indexOf(this), 1)
  }
}

import { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import { ConfigurationCommands } from '@mimosarock/coordination/configuration/configuration-commands.js'
import { readOperatorAccess } from '../wiring/read-operator-access.js'
import { CommandService } from './command-service.js'
import type { OperatorServicesOptions } from './operator-services-options.js'
import { OperatorServer } from './operator-server.js'
import { QueryService } from './query-service.js'

/** The operators' interface of a router: command and query services, the server for them, and the audit trail. */
export class OperatorServices {
  /** Audit trail; settlements and engine orders are recorded in it as well. */
  readonly auditTrail: AuditTrail
  private readonly _server: OperatorServer

  /**
   * @param options settings, configuration, operations and other dependencies
   * @throws {MimosarockError} if a file named in the settings cannot be read or has invalid content
   */
  constructor (options: OperatorServicesOptions) {
    this.auditTrail = new AuditTrail(options)
    const configurationCommands = new ConfigurationCommands({ ...options, auditTrail: this.auditTrail })
    this._server = new OperatorServer({
      ...readOperatorAccess(options.settings),
      address: options.settings.operators.address,
      commandService: new CommandService({ ...options, configurationCommands, auditTrail: this.auditTrail }),
      queryService: new QueryService(options),
      eventLog: options.eventLog
    })
  }

  /**
   * Starts the server.
   * @returns IP address and port on which it listens
   * @throws {MimosarockError} ADDRESS_IN_USE, PLAIN_TEXT_REFUSED or UNAUTHENTICATED
   */
  async start (): Promise<string> {
    await this._server.start()
    return this._server.address
  }

  /**
   * Writes audit entries to the log until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    await this.auditTrail.run(signal)
  }

  /** Stops the server and closes its connections. */
  async stop (): Promise<void> {
    await this._server.stop()
  }
}

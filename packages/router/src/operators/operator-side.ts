import { AuditTrail } from '@mimosarock/coordination/configuration/audit-trail.js'
import { ConfigurationCommands } from '@mimosarock/coordination/configuration/configuration-commands.js'
import { readOperatorAccess } from '../wiring/read-operator-access.js'
import { CommandService } from './command-service.js'
import type { OperatorSideOptions } from './operator-side-options.js'
import { OperatorServer } from './operator-server.js'
import { QueryService } from './query-service.js'

/** Everything of a router that serves operators: command and query services, their server and the audit trail. */
export class OperatorSide {
  /** Takes the entries of settlements and orders as well. */
  readonly auditTrail: AuditTrail
  private readonly _server: OperatorServer

  /**
   * @param options what the services work with
   * @throws {MimosarockError} if a file that the settings name can't be read
   */
  constructor (options: OperatorSideOptions) {
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
   * Opens the server.
   * @returns IP number and port
   * @throws {MimosarockError} ADDRESS_IN_USE, PLAIN_TEXT_REFUSED or UNAUTHENTICATED
   */
  async start (): Promise<string> {
    await this._server.start()
    return this._server.address
  }

  /**
   * Writes the audit trail until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    await this.auditTrail.run(signal)
  }

  /** Closes the server. */
  async stop (): Promise<void> {
    await this._server.stop()
  }
}

import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { AccessTokens } from '../access/access-tokens.js'
import type { ServerCertificate } from '../access/server-certificate.js'
import type { CommandService } from './command-service.js'
import type { QueryService } from './query-service.js'

/** What the operators' server works with. */
export interface OperatorServerOptions {
  /** IP number and port; port 0 lets the system pick. */
  readonly address: string
  readonly commandService: CommandService
  readonly queryService: QueryService
  /** Tokens of the operators; empty asks for none, which only a loopback address may. */
  readonly tokens: AccessTokens
  /** Plain text without it. */
  readonly certificate?: ServerCertificate
  /** Allows plain text, and calls without tokens, on an address that other VMs reach. */
  readonly allowPlainText?: boolean
  readonly eventLog: EventLog
}

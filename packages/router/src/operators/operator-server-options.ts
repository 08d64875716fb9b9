import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { AccessTokens } from '../access/access-tokens.js'
import type { ServerCertificate } from '../access/server-certificate.js'
import type { CommandService } from './command-service.js'
import type { QueryService } from './query-service.js'

/** Options of `OperatorServer`. */
export interface OperatorServerOptions {
  /** IP address and port; port 0 selects a free port. */
  readonly address: string
  readonly commandService: CommandService
  readonly queryService: QueryService
  /**
   * Access tokens of the operators. If empty, requests need no token, which requires a loopback address unless
   * `allowPlainText` is set.
   */
  readonly tokens: AccessTokens
  /** TLS certificate; the server uses plain text if omitted. */
  readonly certificate?: ServerCertificate
  /** Allows plain text, and requests without tokens, on an address that other VMs can reach. */
  readonly allowPlainText?: boolean
  readonly eventLog: EventLog
}

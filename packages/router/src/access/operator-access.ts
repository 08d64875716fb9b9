import type { AccessTokens } from './access-tokens.js'
import type { ServerCertificate } from './server-certificate.js'

/** Access control of the operator server: the tokens it accepts and the certificate it presents. */
export interface OperatorAccess {
  readonly tokens: AccessTokens
  readonly certificate?: ServerCertificate
  /** Allows plain text, and requests without tokens, on an address that other VMs can reach. */
  readonly allowPlainText: boolean
}

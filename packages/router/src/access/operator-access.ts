import type { AccessTokens } from './access-tokens.js'
import type { ServerCertificate } from './server-certificate.js'

/** Access control of the operator server: the tokens it accepts and the certificate it presents. */
export interface OperatorAccess {
  readonly tokens: AccessTokens
  readonly certificate?: ServerCertificate
  readonly allowPlainText: boolean
}

import type { AccessTokens } from './access-tokens.js'
import type { ServerCertificate } from './server-certificate.js'

/** What the operators' server asks for and shows, as OperatorServerOptions takes it. */
export interface OperatorAccess {
  readonly tokens: AccessTokens
  readonly certificate?: ServerCertificate
  readonly allowPlainText: boolean
}

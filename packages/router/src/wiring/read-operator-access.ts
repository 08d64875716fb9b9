import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { readSecret } from '../settings/read-secret.js'
import type { RouterSettings } from '../settings/router-settings.js'
import { AccessTokens } from '../access/access-tokens.js'
import type { OperatorAccess } from '../access/operator-access.js'

function parseTokens (text: string): AccessTokens {
  try {
    return AccessTokens.parse(text)
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error)
    throw new MimosarockError(ResultCode.SETTINGS_INVALID_VALUE, `[operators] tokens: ${problem}`, { field: '[operators]' })
  }
}

/**
 * Reads the tokens, certificates and private key that the section `[operators]` of the settings refers to.
 * @param settings validated settings
 * @throws {MimosarockError} SETTINGS_FILE_UNREADABLE, SETTINGS_MISSING_KEY or SETTINGS_INVALID_VALUE
 */
export function readOperatorAccess (settings: RouterSettings): OperatorAccess {
  const section = settings.operators
  const tokens = readSecret('[operators] tokens_file', section.tokens_file, section.tokens_environment)
  const certificate = readSecret('[operators] tls_certificate_file', section.tls_certificate_file)
  const key = readSecret('[operators] tls_key_file', section.tls_key_file)
  const clientAuthorities = readSecret('[operators] tls_client_authority_file', section.tls_client_authority_file)
  return {
    tokens: parseTokens(tokens ?? ''),
    allowPlainText: section.allow_plain_text === 'yes',
    ...(certificate !== undefined && key !== undefined && {
      certificate: { certificate, key, ...(clientAuthorities !== undefined && { clientAuthorities }) }
    })
  }
}

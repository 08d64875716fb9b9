import type { PeerAccess } from '@mimosarock/coordination/membership/peer-access.js'
import { readSecret } from '../settings/read-secret.js'
import type { RouterSettings } from '../settings/router-settings.js'

/**
 * Reads the token, certificate, key and certificate authority that the section `[peers]` of the settings refers to.
 * @param settings validated settings
 * @throws {MimosarockError} SETTINGS_FILE_UNREADABLE or SETTINGS_MISSING_KEY
 */
export function readPeerAccess (settings: RouterSettings): PeerAccess {
  const section = settings.peers
  const token = readSecret('[peers] token_file', section.token_file, section.token_environment)?.trim()
  const certificate = readSecret('[peers] tls_certificate_file', section.tls_certificate_file)
  const key = readSecret('[peers] tls_key_file', section.tls_key_file)
  const authority = readSecret('[peers] tls_authority_file', section.tls_authority_file)
  return {
    ...(token !== undefined && { token }),
    ...(certificate !== undefined && key !== undefined && authority !== undefined && { tls: { certificate, key, authority } }),
    allowPlainText: section.allow_plain_text === 'yes'
  }
}

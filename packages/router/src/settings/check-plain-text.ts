import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { isLoopbackAddress } from '../access/is-loopback-address.js'
import type { RouterSettings } from './router-settings.js'

function throwPlainTextRefused (section: string, problem: string): never {
  const message = `[${section}] address is not a loopback address and ${problem}; to permit this, set allow_plain_text = yes`
  throw new MimosarockError(ResultCode.PLAIN_TEXT_REFUSED, message, { field: `[${section}]` })
}

/**
 * Rejects settings under which other VMs can reach the operator, peer or forward server without TLS or tokens, unless the
 * section of that server sets `allow_plain_text = yes`. Forwarded calls are always plain text.
 * @param settings the validated settings
 * @throws {MimosarockError} PLAIN_TEXT_REFUSED
 */
export function checkPlainText (settings: RouterSettings): void {
  const { operators, peers, forwards } = settings
  const requiresProtection = (section: { address: string, allow_plain_text: 'yes' | 'no' }): boolean =>
    !isLoopbackAddress(section.address) && section.allow_plain_text === 'no'
  if (requiresProtection(operators)) {
    if (operators.tls_certificate_file === '' || operators.tls_key_file === '') throwPlainTextRefused('operators', 'tls_certificate_file or tls_key_file is not set')
    if (operators.tokens_file === '' && operators.tokens_environment === '') throwPlainTextRefused('operators', 'neither tokens_file nor tokens_environment is set')
  }
  if (requiresProtection(peers)) {
    if (peers.tls_certificate_file === '' || peers.tls_key_file === '' || peers.tls_authority_file === '') {
      throwPlainTextRefused('peers', 'tls_certificate_file, tls_key_file or tls_authority_file is not set')
    }
    if (peers.token_file === '' && peers.token_environment === '') throwPlainTextRefused('peers', 'neither token_file nor token_environment is set')
  }
  if (requiresProtection(forwards)) throwPlainTextRefused('forwards', 'forwarded calls are always plain text')
}

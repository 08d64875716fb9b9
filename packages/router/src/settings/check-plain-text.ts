import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { isLoopbackAddress } from '../access/is-loopback-address.js'
import type { RouterSettings } from './router-settings.js'

function throwPlainTextRefused (section: string, problem: string): never {
  const message = `[${section}] address is not loopback and ${problem}; give it, or set allow_plain_text = yes`
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
  const isOpen = (section: { address: string, allow_plain_text: 'yes' | 'no' }): boolean =>
    !isLoopbackAddress(section.address) && section.allow_plain_text === 'no'
  if (isOpen(operators)) {
    if (operators.tls_certificate_file === '' || operators.tls_key_file === '') throwPlainTextRefused('operators', 'has no tls_certificate_file and tls_key_file')
    if (operators.tokens_file === '' && operators.tokens_environment === '') throwPlainTextRefused('operators', 'has no tokens_file or tokens_environment')
  }
  if (isOpen(peers)) {
    if (peers.tls_certificate_file === '' || peers.tls_key_file === '' || peers.tls_authority_file === '') {
      throwPlainTextRefused('peers', 'has no tls_certificate_file, tls_key_file and tls_authority_file')
    }
    if (peers.token_file === '' && peers.token_environment === '') throwPlainTextRefused('peers', 'has no token_file or token_environment')
  }
  if (isOpen(forwards)) throwPlainTextRefused('forwards', 'has no TLS')
}

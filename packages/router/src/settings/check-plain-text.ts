import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { isLoopbackAddress } from '../access/is-loopback-address.js'
import type { RouterSettings } from './router-settings.js'

function refuse (section: string, problem: string): never {
  const message = `[${section}] address is not loopback and ${problem}; give it, or set allow_plain_text = yes`
  throw new MimosarockError(ResultCode.PLAIN_TEXT_REFUSED, message, { field: `[${section}]` })
}

/**
 * Refuses servers for operators and peers that other VMs reach without TLS or tokens, unless allowed by name.
 * @param settings the settings
 * @throws {MimosarockError} PLAIN_TEXT_REFUSED
 */
export function checkPlainText (settings: RouterSettings): void {
  const { operators, peers, forwards } = settings
  const isOpen = (section: { address: string, allow_plain_text: 'yes' | 'no' }): boolean =>
    !isLoopbackAddress(section.address) && section.allow_plain_text === 'no'
  if (isOpen(operators)) {
    if (operators.tls_certificate_file === '' || operators.tls_key_file === '') refuse('operators', 'has no tls_certificate_file and tls_key_file')
    if (operators.tokens_file === '' && operators.tokens_environment === '') refuse('operators', 'has no tokens_file or tokens_environment')
  }
  if (isOpen(peers)) {
    if (peers.tls_certificate_file === '' || peers.tls_key_file === '' || peers.tls_authority_file === '') {
      refuse('peers', 'has no tls_certificate_file, tls_key_file and tls_authority_file')
    }
    if (peers.token_file === '' && peers.token_environment === '') refuse('peers', 'has no token_file or token_environment')
  }
  if (isOpen(forwards)) refuse('forwards', 'has no TLS')
}

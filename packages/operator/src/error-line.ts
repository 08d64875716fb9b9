import { ConnectError } from '@connectrpc/connect'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * One line that tells an operator what went wrong, with the numbered code.
 * @param error what was thrown
 */
export function errorLine (error: unknown): string {
  const name = (code: number): string => Object.entries(ResultCode).find(([, value]) => value === code)?.[0] ?? ''
  if (error instanceof MimosarockError) return `error ${error.code} ${name(error.code)}: ${error.message}\n`
  if (error instanceof ConnectError) {
    const code = Number(error.metadata.get('mimosarock-code') ?? 0)
    return code === 0 ? `error: ${error.message}\n` : `error ${code} ${name(code)}: ${error.rawMessage}\n`
  }
  return `error: ${error instanceof Error ? error.message : String(error)}\n`
}

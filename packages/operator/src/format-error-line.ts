import { ConnectError } from '@connectrpc/connect'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Formats an error as one line with its result code, if it has one.
 * @param error thrown value, of any type
 * @returns the line, with a trailing line feed
 */
export function formatErrorLine (error: unknown): string {
  const nameOf = (code: number): string => Object.entries(ResultCode).find(([, value]) => value === code)?.[0] ?? ''
  if (error instanceof MimosarockError) return `error ${error.code} ${nameOf(error.code)}: ${error.message}\n`
  if (error instanceof ConnectError) {
    const code = Number(error.metadata.get('mimosarock-code') ?? 0)
    return code === 0 ? `error: ${error.message}\n` : `error ${code} ${nameOf(code)}: ${error.rawMessage}\n`
  }
  return `error: ${error instanceof Error ? error.message : String(error)}\n`
}

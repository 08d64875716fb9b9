import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { PromptPart } from '../model/prompt-part.js'
import type { PromptQuarantine } from '../quarantine/prompt-quarantine.js'
import { notRunError } from './not-run-error.js'

/**
 * Requires that no part of a prompt is quarantined.
 * @param quarantine quarantined parts
 * @param prompt parts of the prompt
 * @param runs number of endpoints on which the request may have run
 * @throws MimosarockError if a part is quarantined
 */
export function requireNotQuarantined (quarantine: PromptQuarantine, prompt: readonly PromptPart[], runs: number): void {
  const block = quarantine.findBlock(prompt)
  if (block === undefined) return
  const message = `endpoints have crashed on requests with the prompt part ${block.partId}`
  if (runs === 0) throw notRunError(ResultCode.PROMPT_QUARANTINED, message, block.remainingMs)
  throw new MimosarockError(ResultCode.ENDPOINT_FAILED, message, { run: RunState.UNKNOWN })
}

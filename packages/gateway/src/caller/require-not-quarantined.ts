import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { RequestContent } from '../model/request-content.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import { requestSuspectId } from '../quarantine/request-suspect-id.js'
import { notRunError } from './not-run-error.js'

/**
 * Requires that neither a request nor a part of its prompt is quarantined.
 * @param quarantine quarantined requests and parts
 * @param content what the request asks for
 * @param runs number of endpoints on which the request may have run
 * @throws MimosarockError if the request or a part is quarantined
 */
export function requireNotQuarantined (quarantine: RequestQuarantine, content: RequestContent, runs: number): void {
  const block = quarantine.findBlock(content)
  if (block === undefined) return
  const fingerprint = requestSuspectId.fingerprintOf(block.suspectId)
  const code = fingerprint === undefined ? ResultCode.PROMPT_QUARANTINED : ResultCode.REQUEST_QUARANTINED
  const message = fingerprint === undefined
    ? `endpoints have crashed on requests with the prompt part ${block.suspectId}`
    : `endpoints have crashed on this request, ${fingerprint}, when it came before`
  if (runs === 0) throw notRunError(code, message, block.remainingMs)
  throw new MimosarockError(ResultCode.ENDPOINT_FAILED, message, { run: RunState.UNKNOWN })
}

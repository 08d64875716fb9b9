import type { IncomingMessage } from 'node:http'
import type { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const WORKSPACE_HEADER = 'mimosarock-workspace'

/**
 * Returns the workspace named by the Mimosarock-Workspace header of a request.
 * @param request only its headers are read
 * @param index the current configuration
 * @throws {MimosarockError} WORKSPACE_MISSING or WORKSPACE_UNKNOWN
 */
export function findWorkspace (request: IncomingMessage, index: ConfigurationIndex): Workspace {
  const name = request.headers[WORKSPACE_HEADER]
  if (typeof name !== 'string' || name === '') {
    throw new MimosarockError(ResultCode.WORKSPACE_MISSING, 'the request has no Mimosarock-Workspace header', { field: 'Mimosarock-Workspace' })
  }
  const workspace = index.workspaces.get(name)
  if (workspace === undefined) throw new MimosarockError(ResultCode.WORKSPACE_UNKNOWN, `there is no workspace ${name}`, { field: 'Mimosarock-Workspace' })
  return workspace
}

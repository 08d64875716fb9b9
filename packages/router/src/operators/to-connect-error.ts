import { Code, ConnectError } from '@connectrpc/connect'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { httpStatusOf } from '@mimosarock/schema/http-status-of.js'

const CODE_BY_STATUS: ReadonlyMap<number, Code> = new Map([
  [400, Code.InvalidArgument],
  [401, Code.Unauthenticated],
  [404, Code.NotFound],
  [409, Code.FailedPrecondition],
  [503, Code.Unavailable],
  [504, Code.DeadlineExceeded]
])

/**
 * Converts an error to a Connect error. The result code is sent as a number in the metadata key `mimosarock-code`.
 * @param error error of a query
 */
export function toConnectError (error: MimosarockError): ConnectError {
  const code = CODE_BY_STATUS.get(httpStatusOf(error.code)) ?? Code.Internal
  return new ConnectError(error.message, code, { 'mimosarock-code': String(error.code) })
}

import { RESULT_CODE_DETAILS } from './result-code-details.js'
import { ResultCode } from './result-code.js'

const STATUS_BY_CODE: ReadonlyMap<number, number> = new Map(
  (Object.keys(ResultCode) as Array<keyof typeof ResultCode>)
    .map((name) => [ResultCode[name], RESULT_CODE_DETAILS[name].httpStatus])
)
const INTERNAL_SERVER_ERROR = 500

/**
 * Returns the HTTP status of a response with a result code; 500 if the code is unknown.
 * @param code result code of the response
 */
export function httpStatusOf (code: ResultCode): number {
  return STATUS_BY_CODE.get(code) ?? INTERNAL_SERVER_ERROR
}

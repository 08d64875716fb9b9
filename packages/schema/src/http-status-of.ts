import { RESULT_CODE_DETAILS } from './result-code-details.js'
import { ResultCode } from './result-code.js'

const STATUS_BY_CODE: ReadonlyMap<number, number> = new Map(
  (Object.keys(ResultCode) as Array<keyof typeof ResultCode>)
    .map((name) => [ResultCode[name], RESULT_CODE_DETAILS[name].httpStatus])
)
const INTERNAL_SERVER_ERROR = 500

/**
 * HTTP status of an answer that carries a result code.
 * @param code the result code
 */
export function httpStatusOf (code: ResultCode): number {
  return STATUS_BY_CODE.get(code) ?? INTERNAL_SERVER_ERROR
}

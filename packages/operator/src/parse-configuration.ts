import { fromJsonString } from '@bufbuild/protobuf'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads a configuration from its JSON form; an unknown field is refused.
 * @param text the JSON, with field names as in the schema file or in camel case
 * @param file name of the file, for the error
 * @throws {MimosarockError} CONFIGURATION_INVALID
 */
export function parseConfiguration (text: string, file: string): Configuration {
  try {
    return fromJsonString(ConfigurationSchema, text)
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    throw new MimosarockError(ResultCode.CONFIGURATION_INVALID, `${file}: ${reason}`, { field: file, cause })
  }
}

import { fromJsonString } from '@bufbuild/protobuf'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Parses a configuration from its JSON encoding; rejects unknown fields.
 * @param text the JSON text, with field names as in the schema file or in camel case
 * @param file path of the file, for the error message
 * @throws {MimosarockError} CONFIGURATION_INVALID if the text is not the JSON encoding of a configuration
 */
export function parseConfiguration (text: string, file: string): Configuration {
  try {
    return fromJsonString(ConfigurationSchema, text)
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    throw new MimosarockError(ResultCode.CONFIGURATION_INVALID, `${file}: ${reason}`, { field: file, cause })
  }
}

import type { Configuration, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Returns the pool with the given name.
 * @param configuration configuration to search
 * @param name name of the pool
 * @throws {MimosarockError} CONFIGURATION_REFERENCE_UNKNOWN if there is no such pool
 */
export function findPool (configuration: Configuration, name: string): Pool {
  const pool = configuration.pools.find((candidate) => candidate.name === name)
  if (pool !== undefined) return pool
  throw new MimosarockError(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, `there is no pool ${name}`, { field: 'POOL' })
}

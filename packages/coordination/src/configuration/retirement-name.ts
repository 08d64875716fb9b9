import type { Retirement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/**
 * Returns the name of a retirement, `pool/endpoint`, which is unique within a configuration.
 * @param retirement retirement of one endpoint
 */
export function retirementName (retirement: Retirement): string {
  return `${retirement.pool}/${retirement.endpoint}`
}

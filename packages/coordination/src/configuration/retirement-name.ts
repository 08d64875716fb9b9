import type { Retirement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/**
 * Name of a retirement: its pool and endpoint.
 * @param retirement the retirement
 */
export function retirementName (retirement: Retirement): string {
  return `${retirement.pool}/${retirement.endpoint}`
}

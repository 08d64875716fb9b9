import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/**
 * Replaces the endpoints of the pool `chat` with engines that were not started by the fleet.
 * @param configuration configuration of the fleet; modified in place
 * @param addresses IP address and port of each engine
 * @param capacity number of requests that each engine runs at once
 * @returns the same configuration
 * @throws {Error} if the pool has no endpoint to copy the remaining fields from
 */
export function useEngineAddresses (configuration: Configuration, addresses: readonly string[], capacity: number): Configuration {
  const pool = configuration.pools.find((candidate) => candidate.name === 'chat')
  const template = pool?.endpoints[0]
  if (pool === undefined || template === undefined) throw new Error('the configuration has no engine in the pool chat')
  pool.endpoints = addresses.map((address, index) => ({ ...template, name: `engine-${index}`, address, capacity }))
  return configuration
}

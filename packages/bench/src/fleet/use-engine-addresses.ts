import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/**
 * Points the pool `chat` of a fleet's configuration to other engines than the fleet's own.
 * @param configuration the fleet's configuration; changed in place
 * @param addresses IP numbers and ports
 * @param capacity requests that each runs at once
 */
export function useEngineAddresses (configuration: Configuration, addresses: readonly string[], capacity: number): Configuration {
  const pool = configuration.pools.find((candidate) => candidate.name === 'chat')
  const pattern = pool?.endpoints[0]
  if (pool === undefined || pattern === undefined) throw new Error('the fleet has no engine')
  pool.endpoints = addresses.map((address, index) => ({ ...pattern, name: `engine-${index}`, address, capacity }))
  return configuration
}

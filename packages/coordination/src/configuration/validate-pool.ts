import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ProblemList } from './problem-list.js'

const MAXIMUM_CAPACITY = 100_000
const MINIMUM_LOAD_MULTIPLE = 1.01
const MAXIMUM_LOAD_MULTIPLE = 10
const MAXIMUM_QUEUE_WAIT_MS = 600_000
const MAXIMUM_CONTEXT_WAIT_MS = 60_000
const MINIMUM_SILENCE_MS = 50
const MAXIMUM_SILENCE_MS = 600_000
const MAXIMUM_MODEL_LENGTH = 128
const IPV4_ADDRESS = /^(?:(?:25[0-5]|2[0-4]\d|1?\d?\d)(?:\.(?!:)|(?=:))){4}:(\d{1,5})$/
const IPV6_ADDRESS = /^\[[0-9a-fA-F:.]+\]:(\d{1,5})$/
const MAXIMUM_PORT = 65_535

function isAddress (address: string): boolean {
  const port = Number((IPV4_ADDRESS.exec(address) ?? IPV6_ADDRESS.exec(address))?.[1] ?? 0)
  return port >= 1 && port <= MAXIMUM_PORT
}

function validateEndpoint (problems: ProblemList, path: string, endpoint: Endpoint): void {
  problems.checkName(`${path}.name`, endpoint.name)
  if (!isAddress(endpoint.address)) {
    problems.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, `${path}.address`, endpoint.address, 'an IP address and a port, such as 10.0.0.7:8000')
  }
  problems.checkName(`${path}.availability_zone`, endpoint.availabilityZone)
  problems.checkRange(`${path}.capacity`, endpoint.capacity, 1, MAXIMUM_CAPACITY)
}

function validateModels (problems: ProblemList, path: string, pool: Pool): void {
  const models = new Set<string>()
  for (const placement of pool.models) {
    const modelPath = `${path}.models[${placement.model}]`
    problems.checkLength(`${modelPath}.model`, placement.model, 1, MAXIMUM_MODEL_LENGTH)
    problems.checkUnique(`${modelPath}.model`, placement.model, models)
    problems.checkRange(`${modelPath}.replicas`, placement.replicas, 0, pool.endpoints.length)
  }
}

/**
 * Validates one pool.
 * @param problems list to which the problems are added
 * @param pool pool to validate
 * @param addresses endpoint addresses of the pools validated before, to which those of this pool are added; an address
 * in two pools is rejected, since its load would be counted twice
 */
export function validatePool (problems: ProblemList, pool: Pool, addresses: Set<string>): void {
  const path = `pools[${pool.name}]`
  problems.checkName(`${path}.name`, pool.name)
  if (pool.kind !== PoolKind.MODEL && pool.kind !== PoolKind.SERVICE) {
    problems.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, `${path}.kind`, pool.kind, 'POOL_KIND_MODEL or POOL_KIND_SERVICE')
  }
  const names = new Set<string>()
  for (const endpoint of pool.endpoints) {
    const endpointPath = `${path}.endpoints[${endpoint.name}]`
    validateEndpoint(problems, endpointPath, endpoint)
    problems.checkUnique(`${endpointPath}.name`, endpoint.name, names)
    problems.checkUnique(`${endpointPath}.address`, endpoint.address, addresses)
  }
  // A pool of plain services may omit the load multiple.
  if (pool.kind === PoolKind.MODEL || pool.loadMultiple !== 0) {
    problems.checkRange(`${path}.load_multiple`, pool.loadMultiple, MINIMUM_LOAD_MULTIPLE, MAXIMUM_LOAD_MULTIPLE)
  }
  problems.checkRange(`${path}.queue_wait_ms`, pool.queueWaitMs, 0, MAXIMUM_QUEUE_WAIT_MS)
  problems.checkRange(`${path}.context_wait_ms`, pool.contextWaitMs, 0, MAXIMUM_CONTEXT_WAIT_MS)
  if (pool.silenceMs !== 0) problems.checkRange(`${path}.silence_ms`, pool.silenceMs, MINIMUM_SILENCE_MS, MAXIMUM_SILENCE_MS)
  validateModels(problems, path, pool)
}

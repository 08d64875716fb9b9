import { EndpointSelector } from '../choice/endpoint-selector.js'
import type { RequestParts } from './request-parts.js'
import type { RequestRecord } from './request-record.js'

const MS_PER_SECOND = 1_000

/**
 * Writes the line of a request that has ended, and counts it.
 * @param parts the log and the counters
 * @param record what is told
 */
export function reportRequest ({ log, metrics, configuration }: RequestParts, record: RequestRecord): void {
  const { admitted, chosen, status, code, elapsedMs } = record
  const route = admitted?.route.name ?? 'none'
  metrics.requests.inc({ route, status, code })
  metrics.answerSeconds.observe({ route }, elapsedMs / MS_PER_SECOND)
  log.info('request', {
    request: record.requestId,
    route,
    service: admitted?.service,
    workspace: admitted?.workspace,
    priority: admitted?.priority,
    configuration: admitted?.configurationVersion,
    configuration_age_ms: Math.round(configuration.ageMs),
    key: admitted === undefined ? undefined : EndpointSelector.keyOf(admitted.caller.prompt),
    prompt_tokens: admitted?.caller.promptTokens,
    endpoint: chosen?.endpoint.id,
    choice: chosen?.reason,
    context_from: chosen?.contextHolder?.id,
    load: chosen?.load,
    bound: chosen === undefined ? undefined : Math.round(chosen.bound),
    waited_ms: Math.round(record.waitedMs),
    tries: record.tries,
    status,
    code,
    first_byte_ms: record.firstByteMs === undefined ? undefined : Math.round(record.firstByteMs),
    elapsed_ms: Math.round(elapsedMs),
    problem: record.problem
  })
}

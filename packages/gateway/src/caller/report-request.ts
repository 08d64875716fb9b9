import { ResultCode } from '@mimosarock/schema/result-code.js'
import { EndpointSelector } from '../choice/endpoint-selector.js'
import type { Homes } from '../homes/homes.js'
import type { RequestDependencies } from './request-dependencies.js'
import type { RequestRecord } from './request-record.js'

const MS_PER_SECOND = 1_000

/**
 * Writes the log line of a finished request and updates the metrics.
 * @param dependencies log, metrics and configuration
 * @param record outcome of the request
 */
export function reportRequest ({ log, metrics, configuration, currentHomes, limits, warmUps }: RequestDependencies, record: RequestRecord): void {
  const { authorized, chosen, status, code, elapsedMs } = record
  const route = authorized?.route.name ?? 'none'
  metrics.requests.inc({ route, status, code })
  if (code === ResultCode.HOME_UNAVAILABLE) metrics.homeRefusals.inc({ service: authorized?.service ?? 'none' })
  metrics.responseSeconds.observe({ route }, elapsedMs / MS_PER_SECOND)
  log.info('request', {
    request: record.requestId,
    fingerprint: record.fingerprint,
    route,
    service: authorized?.service,
    workspace: authorized?.workspace,
    priority: authorized?.priority,
    homes: authorized === undefined ? undefined : describe(currentHomes.of(authorized)),
    configuration: authorized?.configurationVersion ?? configuration.version,
    awaited_configuration: configuration.awaited.version,
    configuration_age_ms: Math.round(configuration.ageMs),
    key: authorized === undefined ? undefined : EndpointSelector.keyOf(authorized.caller.prompt),
    prompt_tokens: authorized?.caller.promptTokens,
    endpoint: chosen?.endpoint.id,
    choice: chosen?.reason,
    context_from: chosen?.contextHolder?.id,
    load: chosen === undefined ? undefined : Math.round(chosen.load),
    bound: chosen === undefined ? undefined : Math.round(chosen.bound),
    endpoint_limit: chosen === undefined ? undefined : limits.limitOf(chosen.endpoint),
    cold: chosen !== undefined && warmUps.isCold(chosen.endpoint) ? true : undefined,
    waited_ms: Math.round(record.waitedMs),
    grant_ms: record.grantMs === undefined ? undefined : Math.round(record.grantMs),
    slot_owner: record.slotOwner,
    tries: record.attempts,
    status,
    code,
    first_byte_ms: record.firstByteMs === undefined ? undefined : Math.round(record.firstByteMs),
    elapsed_ms: Math.round(elapsedMs),
    problem: record.problem
  })
}

function describe (homes: Homes | undefined): string | undefined {
  return homes === undefined ? undefined : homes.regions.join(',') || 'none'
}

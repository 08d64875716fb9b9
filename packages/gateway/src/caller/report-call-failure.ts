import type { CallFailure } from './call-failure.js'
import type { RequestDependencies } from './request-dependencies.js'

/**
 * Writes the log line of a call that failed and updates the metrics. A request may have several such calls, of which its own line names
 * only the last.
 * @param dependencies log and metrics
 * @param failure the failed call
 */
export function reportCallFailure ({ log, metrics }: RequestDependencies, { requestId, route, service, content: { prompt, fingerprint }, chosen, result, hasBegun }: CallFailure): void {
  const { endpoint, load } = chosen
  const { outcome, head, problem } = result
  metrics.callFailures.inc({ service, outcome, begun: String(hasBegun) })
  log.info('endpoint-call-failed', {
    request: requestId,
    fingerprint,
    route,
    endpoint: endpoint.id,
    endpoint_started_at: endpoint.startedAt,
    load,
    slots: endpoint.slots,
    outcome,
    endpoint_status: head?.status,
    begun: hasBegun,
    prompt: prompt.length === 0 ? undefined : prompt.map(({ id }) => id).join(','),
    problem
  })
}

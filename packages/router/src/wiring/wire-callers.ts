import { RetryBudget } from '@mimosarock/placement/retry-budget.js'
import { CallerServer } from '../caller/caller-server.js'
import { ChatHandler } from '../caller/chat-handler.js'
import { ModelsHandler } from '../caller/models-handler.js'
import { ServiceHandler } from '../caller/service-handler.js'
import { EntryPlacement } from '../entry/entry-placement.js'
import { RetryPolicy } from '../retries/retry-policy.js'
import { StatusHandler } from '../status/status-handler.js'
import type { WireCallersOptions } from './wire-callers-options.js'

/** Number of retries granted per successful request. */
const RETRY_RATIO = 0.1
/** Maximum number of retries that the budget saves up. */
const RETRY_RESERVE = 20
const MAXIMUM_ATTEMPTS = 4
const RETRY_DELAY_MS = 20

/**
 * Creates the server for callers with its request handlers, call placement and retry policy.
 * @param options components and settings that the server depends on
 * @returns the server, not started
 */
export function wireCallers (options: WireCallersOptions): CallerServer {
  const { configuration, poolOrder, dispatch, metrics } = options
  const { clock, eventLog, settings } = options.processOptions
  const workspaceLimits = options.placement.workspaceLimits
  const displacementReports = options.placement.displacementReports
  const maximumBodyBytes = settings.callers.maximum_body_bytes
  const drainTimeoutMs = settings.callers.body_timeout_ms
  const retryPolicy = new RetryPolicy({
    budget: new RetryBudget(RETRY_RATIO, RETRY_RESERVE),
    maximumAttempts: MAXIMUM_ATTEMPTS,
    baseDelayMs: RETRY_DELAY_MS,
    minimumRemainingMs: RETRY_DELAY_MS,
    random: Math.random
  })
  const placement = new EntryPlacement({ dispatch, displacement: displacementReports, retryPolicy, clock })
  const directPlacement = new EntryPlacement({ dispatch: options.directDispatch, displacement: displacementReports, retryPolicy, clock })
  return new CallerServer({
    address: settings.callers.address,
    maximumHeaderBytes: settings.callers.maximum_header_bytes,
    headerTimeoutMs: settings.callers.header_timeout_ms,
    bodyTimeoutMs: settings.callers.body_timeout_ms,
    clock,
    eventLog,
    metrics,
    chats: new ChatHandler({ configuration, limiter: workspaceLimits, order: poolOrder, placement, dispatch, clock, eventLog, metrics, maximumBodyBytes, drainTimeoutMs }),
    services: new ServiceHandler({
      configuration,
      limiter: workspaceLimits,
      order: poolOrder,
      placement,
      directPlacement,
      keyedCall: options.keyedCall,
      clock,
      maximumBodyBytes,
      maximumBufferedBodyBytes: settings.callers.maximum_kept_body_bytes,
      drainTimeoutMs
    }),
    models: new ModelsHandler(configuration),
    status: new StatusHandler(options.readiness, metrics)
  })
}

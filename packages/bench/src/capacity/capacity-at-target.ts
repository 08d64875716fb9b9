import type { Slope } from './slope.js'

/** Fleet size and load that the design must support. */
const ROUTERS = 800
const ENDPOINTS = 5_100
const WORKSPACES = 19_000
const REQUESTS_PER_SECOND = 20_000
const CHANGES_PER_DAY = 5_500
const SECONDS_PER_DAY = 86_400
/** Share of requests that carry an Idempotency-Key. An assumption, because the target states no figure. */
const KEYED_SHARE = 0.01
/**
 * Share of the 26 million chats whose context is at an endpoint other than the first in their rendezvous order. An
 * assumption, because the target states no figure.
 */
const DISPLACED_SHARE = 0.05
const CHATS = 26_000_000
const HEARTBEATS_PER_SECOND = 4
/** Appends per second of the single ledger writer, for one partition and the default group interval of 40 ms. */
const WRITER_APPENDS_PER_SECOND = 25
/** Poll intervals for configuration and leases on routers that do not follow these streams with long polls. */
const CONFIGURATION_SLOW_POLL_S = 5
const LEASE_SLOW_POLL_S = 30
const BYTES_PER_MEGABYTE = 1_048_576
const MICROSECONDS_PER_SECOND = 1_000_000

/**
 * Extrapolates the measured slopes to the cost for one router and for the fleet at the target size.
 * @param slopes measured slopes by name
 * @param endpointWatchBytes bytes per second that watching one endpoint writes
 * @returns estimates by name, rounded to 4 significant digits; NaN where a slope is missing
 */
export function capacityAtTarget (slopes: Readonly<Record<string, Slope>>, endpointWatchBytes: number): Record<string, number> {
  const estimateAt = (name: string, count: number): number => {
    const slope = slopes[name]
    return slope === undefined ? NaN : Math.max(slope.intercept + slope.slope * count, 0)
  }
  const slopeOf = (name: string): number => slopes[name]?.slope ?? NaN
  const keysPerSecond = REQUESTS_PER_SECOND * KEYED_SHARE
  const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY
  // Larger fleets share idle costs, so the time per heartbeat decreases with size and a fitted line would fall
  // below 0 at the target size. The largest measured point is an upper bound.
  const heartbeatUs = Math.max(...slopes.heartbeat_us?.points.map(([, cost]) => cost) ?? [NaN])
  const heartbeatShare = HEARTBEATS_PER_SECOND * heartbeatUs / MICROSECONDS_PER_SECOND
  const ledgerShare = keysPerSecond * slopeOf('ledger_record_us') / MICROSECONDS_PER_SECOND
  const configurationMb = estimateAt('workspace_bytes', WORKSPACES) / BYTES_PER_MEGABYTE
  const ledgerMb = keysPerSecond * SECONDS_PER_DAY * slopeOf('ledger_key_bytes') / BYTES_PER_MEGABYTE
  const displacedMb = CHATS * DISPLACED_SHARE / ROUTERS * slopeOf('displaced_chat_bytes') / BYTES_PER_MEGABYTE
  const appends = WRITER_APPENDS_PER_SECOND + changesPerSecond
  const slowPolls = ROUTERS / CONFIGURATION_SLOW_POLL_S + ROUTERS / LEASE_SLOW_POLL_S
  const values = {
    control_core_share: heartbeatShare + ledgerShare,
    control_core_share_heartbeats: heartbeatShare,
    control_core_share_ledger: ledgerShare,
    control_memory_mb: configurationMb + ledgerMb + displacedMb,
    control_memory_mb_configuration: configurationMb,
    control_memory_mb_ledger: ledgerMb,
    control_memory_mb_displaced_chats: displacedMb,
    control_bytes_per_second: estimateAt('membership_bytes_per_second', ROUTERS) + ENDPOINTS / ROUTERS * endpointWatchBytes + changesPerSecond * estimateAt('revision_change_bytes', ROUTERS),
    configuration_in_force_s: CONFIGURATION_SLOW_POLL_S + estimateAt('configuration_index_ms', WORKSPACES) / 1_000,
    log_appends_per_second: appends,
    log_reads_per_second: ROUTERS * WRITER_APPENDS_PER_SECOND + slowPolls
  }
  return Object.fromEntries(Object.entries(values).map(([name, value]) => [name, Number(value.toPrecision(4))]))
}

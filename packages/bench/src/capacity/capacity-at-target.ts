import type { Slope } from './slope.js'

/** The size that the design has to carry. */
const NODES = 800
const ENDPOINTS = 5_100
const WORKSPACES = 19_000
const REQUESTS_PER_SECOND = 20_000
const CHANGES_PER_DAY = 5_500
const SECONDS_PER_DAY = 86_400
/** Share of requests that carry an Idempotency-Key; an assumption, no figure is given. */
const KEYED_SHARE = 0.01
/** Share of a node's chats that are displaced, out of 26 million; an assumption, no figure is given. */
const DISPLACED_SHARE = 0.05
const CHATS = 26_000_000
const HEARTBEATS_PER_SECOND = 4
/** Appends a second of the ledger's one writer, at the default group interval of 40 ms and in one partition. */
const WRITER_APPENDS_PER_SECOND = 25
/** Polls of configuration and leases by nodes that are no readers of them. */
const CONFIGURATION_SLOW_POLL_S = 5
const LEASE_SLOW_POLL_S = 30
const BYTES_PER_MEGABYTE = 1_048_576
const MICROSECONDS_PER_SECOND = 1_000_000

/**
 * What a node and the fleet need at the target size, by the mechanisms that the router runs today.
 * @param slopes measured slopes by name
 * @param endpointWatchBytes bytes a second that the watch of one endpoint writes
 */
export function capacityAtTarget (slopes: Readonly<Record<string, Slope>>, endpointWatchBytes: number): Record<string, number> {
  const at = (name: string, count: number): number => {
    const slope = slopes[name]
    return slope === undefined ? NaN : Math.max(slope.intercept + slope.slope * count, 0)
  }
  const growth = (name: string): number => slopes[name]?.slope ?? NaN
  const keysPerSecond = REQUESTS_PER_SECOND * KEYED_SHARE
  const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY
  // The time of one heartbeat falls in larger fleets, where idle costs are shared; a line would fall below 0.
  const heartbeatUs = Math.max(...slopes.heartbeat_us?.points.map(([, cost]) => cost) ?? [NaN])
  const heartbeatShare = HEARTBEATS_PER_SECOND * heartbeatUs / MICROSECONDS_PER_SECOND
  const ledgerShare = keysPerSecond * growth('ledger_record_us') / MICROSECONDS_PER_SECOND
  const configurationMb = at('workspace_bytes', WORKSPACES) / BYTES_PER_MEGABYTE
  const ledgerMb = keysPerSecond * SECONDS_PER_DAY * growth('ledger_key_bytes') / BYTES_PER_MEGABYTE
  const displacedMb = CHATS * DISPLACED_SHARE / NODES * growth('displaced_chat_bytes') / BYTES_PER_MEGABYTE
  const appends = WRITER_APPENDS_PER_SECOND + changesPerSecond
  const slowPolls = NODES / CONFIGURATION_SLOW_POLL_S + NODES / LEASE_SLOW_POLL_S
  const values = {
    control_core_share: heartbeatShare + ledgerShare,
    control_core_share_heartbeats: heartbeatShare,
    control_core_share_ledger: ledgerShare,
    control_memory_mb: configurationMb + ledgerMb + displacedMb,
    control_memory_mb_configuration: configurationMb,
    control_memory_mb_ledger: ledgerMb,
    control_memory_mb_displaced_chats: displacedMb,
    control_bytes_per_second: at('membership_bytes_per_second', NODES) + ENDPOINTS / NODES * endpointWatchBytes + changesPerSecond * at('revision_change_bytes', NODES),
    configuration_in_force_s: CONFIGURATION_SLOW_POLL_S + at('configuration_index_ms', WORKSPACES) / 1_000,
    log_appends_per_second: appends,
    log_reads_per_second: NODES * WRITER_APPENDS_PER_SECOND + slowPolls
  }
  return Object.fromEntries(Object.entries(values).map(([name, value]) => [name, Number(value.toPrecision(4))]))
}

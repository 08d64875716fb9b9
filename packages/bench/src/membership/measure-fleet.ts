import { RouterState } from '@mimosarock/coordination/membership/router-state.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { FleetFigures } from './fleet-figures.js'
import type { FleetMember } from './fleet-member.js'
import { startFleetMember } from './start-fleet-member.js'

const WINDOW_MS = 10_000
const SETTLE_MS = 3_000
const POLL_INTERVAL_MS = 5
const CONVERGENCE_TIMEOUT_MS = 60_000
/** Number of routers whose addresses the later routers use to join the fleet. */
const SEED_ROUTERS = 3

/**
 * Measures the membership protocol at one fleet size, with all routers in this process and connected over loopback.
 * @param size number of routers
 * @param seed part of the routers' ids, which determine the links between them
 */
export async function measureFleet (size: number, seed: number): Promise<FleetFigures> {
  const startedAt = performance.now()
  const fleet = await startFleet(size, seed)
  try {
    await waitUntil(() => fleet.every((member) => member.membership.live().length === size))
    const joinedMs = performance.now() - startedAt
    await sleep(SETTLE_MS)
    const steady = await measureSteadyState(fleet)
    const revision = await measureRevisionChange(fleet, steady.worst)
    const leavingMs = await measureLeaving(fleet)
    const loss = await measureLoss(fleet)
    return {
      routers: size,
      joined_ms: Math.round(joinedMs),
      bytes_per_second_worst: Math.round(steady.worst),
      bytes_per_second_mean: Math.round(steady.mean),
      revision_change_bytes_worst: Math.round(revision.bytes),
      revision_change_ms: Math.round(revision.ms),
      processor_us_per_heartbeat: Math.round(steady.processorUs),
      suspected_ms: Math.round(loss.suspectedMs),
      agreed_ms: Math.round(loss.agreedMs),
      leaving_known_ms: Math.round(leavingMs)
    }
  } finally {
    await Promise.all(fleet.map((member) => member.close()))
  }
}

async function startFleet (size: number, seed: number): Promise<FleetMember[]> {
  const fleet: FleetMember[] = []
  const seeds: string[] = []
  for (let index = 0; index < size; index += 1) {
    const member = await startFleetMember(`s${seed}-router-${index}`, seeds)
    fleet.push(member)
    if (seeds.length < SEED_ROUTERS) seeds.push(member.address)
  }
  return fleet
}

async function measureSteadyState (fleet: readonly FleetMember[]): Promise<{ worst: number, mean: number, processorUs: number }> {
  const bytesBefore = fleet.map((member) => member.traffic.total)
  const sentBefore = sum(fleet.map((member) => member.sentHeartbeats()))
  const cpuBefore = process.cpuUsage()
  const startedAt = performance.now()
  await sleep(WINDOW_MS)
  const seconds = (performance.now() - startedAt) / 1_000
  const cpuUsed = process.cpuUsage(cpuBefore)
  const rates = fleet.map((member, index) => (member.traffic.total - (bytesBefore[index] ?? 0)) / seconds)
  const heartbeats = sum(fleet.map((member) => member.sentHeartbeats())) - sentBefore
  return { worst: Math.max(...rates), mean: sum(rates) / fleet.length, processorUs: (cpuUsed.user + cpuUsed.system) / heartbeats }
}

async function measureRevisionChange (fleet: readonly FleetMember[], steadyRate: number): Promise<{ bytes: number, ms: number }> {
  const bytesBefore = fleet.map((member) => member.traffic.total)
  const startedAt = performance.now()
  for (const member of fleet) member.membership.setRevision(1)
  await waitUntil(() => fleet.every((member) => member.membership.routers().every((router) => router.revision === 1)))
  const ms = performance.now() - startedAt
  await sleep(SETTLE_MS)
  const seconds = (performance.now() - startedAt) / 1_000
  const written = fleet.map((member, index) => member.traffic.total - (bytesBefore[index] ?? 0))
  return { bytes: Math.max(0, Math.max(...written) - steadyRate * seconds), ms }
}

async function measureLeaving (fleet: readonly FleetMember[]): Promise<number> {
  const member = fleet.at(-1)
  if (member === undefined) return 0
  const startedAt = performance.now()
  member.membership.leave()
  await waitUntil(() => fleet.every((other) => stateSeenBy(other, member.id) === RouterState.LEAVING))
  return performance.now() - startedAt
}

async function measureLoss (fleet: readonly FleetMember[]): Promise<{ suspectedMs: number, agreedMs: number }> {
  const [lost, ...rest] = fleet
  if (lost === undefined) return { suspectedMs: 0, agreedMs: 0 }
  const startedAt = performance.now()
  lost.silence()
  await waitUntil(() => rest.some((member) => stateSeenBy(member, lost.id) === RouterState.SUSPECT))
  const suspectedMs = performance.now() - startedAt
  await waitUntil(() => rest.every((member) => stateSeenBy(member, lost.id) === RouterState.REMOVED))
  return { suspectedMs, agreedMs: performance.now() - startedAt }
}

function stateSeenBy (member: FleetMember, id: string): RouterState | undefined {
  return member.membership.routers().find((router) => router.identity.id === id)?.state
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const timeoutAt = performance.now() + CONVERGENCE_TIMEOUT_MS
  while (!condition()) {
    if (performance.now() > timeoutAt) throw new MimosarockError(ResultCode.PEER_TIMEOUT, 'the membership views of the routers did not converge in time')
    await sleep(POLL_INTERVAL_MS)
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

function sum (values: readonly number[]): number {
  return values.reduce((left, right) => left + right, 0)
}

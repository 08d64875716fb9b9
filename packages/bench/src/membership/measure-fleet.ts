import { RouterState } from '@mimosarock/coordination/membership/router-state.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { FleetFigures } from './fleet-figures.js'
import type { FleetMember } from './fleet-member.js'
import { startFleetMember } from './start-fleet-member.js'

const WINDOW_MS = 10_000
const SETTLE_MS = 3_000
const STEP_MS = 5
const BOUND_MS = 60_000
const SEEDS = 3

/**
 * Measures memberships of one size over loopback, all in this process.
 * @param size number of routers
 * @param seed makes the routers' ids, and by them the links between them
 */
export async function measureFleet (size: number, seed: number): Promise<FleetFigures> {
  const startedAt = performance.now()
  const fleet = await startFleet(size, seed)
  try {
    await until(() => fleet.every((member) => member.membership.live().length === size))
    const joinedMs = performance.now() - startedAt
    await pause(SETTLE_MS)
    const steady = await measureSteady(fleet)
    const revision = await measureRevision(fleet, steady.worst)
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
    if (seeds.length < SEEDS) seeds.push(member.address)
  }
  return fleet
}

async function measureSteady (fleet: readonly FleetMember[]): Promise<{ worst: number, mean: number, processorUs: number }> {
  const bytes = fleet.map((member) => member.traffic.total)
  const sent = sum(fleet.map((member) => member.sent()))
  const processor = process.cpuUsage()
  const startedAt = performance.now()
  await pause(WINDOW_MS)
  const seconds = (performance.now() - startedAt) / 1_000
  const used = process.cpuUsage(processor)
  const rates = fleet.map((member, index) => (member.traffic.total - (bytes[index] ?? 0)) / seconds)
  const heartbeats = sum(fleet.map((member) => member.sent())) - sent
  return { worst: Math.max(...rates), mean: sum(rates) / fleet.length, processorUs: (used.user + used.system) / heartbeats }
}

async function measureRevision (fleet: readonly FleetMember[], steadyRate: number): Promise<{ bytes: number, ms: number }> {
  const bytes = fleet.map((member) => member.traffic.total)
  const startedAt = performance.now()
  for (const member of fleet) member.membership.setRevision(1)
  await until(() => fleet.every((member) => member.membership.routers().every((router) => router.revision === 1)))
  const ms = performance.now() - startedAt
  await pause(SETTLE_MS)
  const seconds = (performance.now() - startedAt) / 1_000
  const written = fleet.map((member, index) => member.traffic.total - (bytes[index] ?? 0))
  return { bytes: Math.max(0, Math.max(...written) - steadyRate * seconds), ms }
}

async function measureLeaving (fleet: readonly FleetMember[]): Promise<number> {
  const member = fleet.at(-1)
  if (member === undefined) return 0
  const startedAt = performance.now()
  member.membership.leave()
  await until(() => fleet.every((other) => stateAt(other, member.id) === RouterState.LEAVING))
  return performance.now() - startedAt
}

async function measureLoss (fleet: readonly FleetMember[]): Promise<{ suspectedMs: number, agreedMs: number }> {
  const [lost, ...rest] = fleet
  if (lost === undefined) return { suspectedMs: 0, agreedMs: 0 }
  const startedAt = performance.now()
  lost.silence()
  await until(() => rest.some((member) => stateAt(member, lost.id) === RouterState.SUSPECT))
  const suspectedMs = performance.now() - startedAt
  await until(() => rest.every((member) => stateAt(member, lost.id) === RouterState.REMOVED))
  return { suspectedMs, agreedMs: performance.now() - startedAt }
}

function stateAt (member: FleetMember, id: string): RouterState | undefined {
  return member.membership.routers().find((router) => router.identity.id === id)?.state
}

async function until (condition: () => boolean): Promise<void> {
  const end = performance.now() + BOUND_MS
  while (!condition()) {
    if (performance.now() > end) throw new MimosarockError(ResultCode.PEER_TIMEOUT, 'the fleet did not agree in time')
    await pause(STEP_MS)
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

function sum (values: readonly number[]): number {
  return values.reduce((left, right) => left + right, 0)
}

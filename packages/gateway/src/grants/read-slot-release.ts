import type { StatedLoad } from '../model/stated-load.js'
import { SlotOutcome } from './slot-outcome.js'
import type { SlotRelease } from './slot-release.js'

const OUTCOMES: ReadonlySet<unknown> = new Set(Object.values(SlotOutcome))
const LOAD_FIELDS = ['running', 'waiting', 'slots'] as const

/**
 * Reads the return of a grant.
 * @param value parameters of the message
 * @returns undefined if they are not valid
 */
export function readSlotRelease (value: unknown): SlotRelease | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const { grant, outcome, elapsedMs, load } = value as Partial<Record<keyof SlotRelease, unknown>>
  const isValid = Number.isInteger(grant) && OUTCOMES.has(outcome) && Number.isFinite(elapsedMs) && (load === undefined || isLoad(load))
  return isValid ? value as SlotRelease : undefined
}

function isLoad (value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false
  const load = value as Partial<Record<keyof StatedLoad, unknown>>
  const hasValidFields = LOAD_FIELDS.every((name) => isNonNegative(load[name])) && (load.slowdown === undefined || isNonNegative(load.slowdown))
  return hasValidFields && load.slots !== 0
}

function isNonNegative (value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

import type { SlotRequest } from './slot-request.js'

const NUMBERS = ['rank', 'routeRank', 'objectiveMs', 'timeLeftMs'] as const

/**
 * Reads a request for a slot.
 * @param value parameters of the message
 * @returns undefined if they are not valid
 */
export function readSlotRequest (value: unknown): SlotRequest | undefined {
  if (typeof value !== 'object' || value === null) return undefined
  const request = value as Partial<Record<keyof SlotRequest, unknown>>
  const { service, workspace, excluded, zones, preferred } = request
  if (typeof service !== 'string' || !isOptional(workspace, (name) => typeof name === 'string')) return undefined
  if (!NUMBERS.every((name) => Number.isFinite(request[name]))) return undefined
  if (!isTextList(excluded) || !isOptional(zones, isTextList) || !isOptional(preferred, isTextList)) return undefined
  return value as SlotRequest
}

function isOptional (value: unknown, isValid: (value: unknown) => boolean): boolean {
  return value === undefined || isValid(value)
}

function isTextList (value: unknown): boolean {
  return Array.isArray(value) && value.every((text) => typeof text === 'string')
}

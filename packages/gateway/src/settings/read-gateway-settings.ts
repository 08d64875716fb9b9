import { readFileSync } from 'node:fs'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { parse } from 'ini'
import { isAddress } from '../model/is-address.js'
import type { GatewaySettings } from './gateway-settings.js'

const MS_PER_SECOND = 1_000
const BYTES_PER_MEGABYTE = 1_000_000
/** Warm-up bounds that hold without settings: the rate of the configuration, and nothing in addition. */
const DEFAULT_WARM_UP_OVERAGE = 1
const DEFAULT_WARM_UP_TOLERANCE = 0
/** Maximum length of a response that holds without settings. */
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 67_108_864
/** Bounds that hold without settings, in milliseconds. */
const DEFAULT_PROPAGATION_MS = 2_000

/** Keys and values of one section. */
type Section = Readonly<Record<string, unknown>>

/**
 * Reads a router's settings from an INI file. Ignores unknown sections and keys.
 * @param path path of the file
 * @throws MimosarockError if the file can't be read, or a value is missing or invalid
 */
export function readGatewaySettings (path: string): GatewaySettings {
  const sections = parse(readText(path)) as Readonly<Record<string, Section | undefined>>
  const value = (section: string, key: string) => readValue(sections, section, key)
  const address = (section: string, key: string) => readAddress(value(section, key), `${section}.${key}`)
  const number = (section: string, key: string) => readNumber(value(section, key), `${section}.${key}`)
  const optionalNumber = (section: string, key: string) => value(section, key) === undefined ? undefined : number(section, key)
  const memoryMegabytes = optionalNumber('vm', 'memory_mb')
  return {
    name: required(value('vm', 'name'), 'vm.name'),
    availabilityZone: required(value('vm', 'availability_zone'), 'vm.availability_zone'),
    region: value('vm', 'region'),
    regions: readRegions(sections.regions),
    memoryBytes: memoryMegabytes === undefined ? undefined : memoryMegabytes * BYTES_PER_MEGABYTE,
    fileDescriptors: number('vm', 'file_descriptors'),
    callers: address('listen', 'callers'),
    readiness: address('listen', 'readiness'),
    peers: address('listen', 'peers'),
    metrics: value('listen', 'metrics') === undefined ? undefined : address('listen', 'metrics'),
    seeds: (value('fleet', 'seeds') ?? '').split(',').map((seed) => seed.trim()).filter(isAddress),
    store: address('fleet', 'store'),
    stopGraceMs: number('stop', 'grace_seconds') * MS_PER_SECOND,
    keyAgeLimitMs: value('keys', 'fail_closed') === 'true' ? number('keys', 'revoked_within_ms') : 0,
    propagationBounds: {
      endpointsMs: optionalNumber('propagation', 'endpoints_within_ms') ?? DEFAULT_PROPAGATION_MS,
      configurationMs: optionalNumber('propagation', 'configuration_within_ms') ?? DEFAULT_PROPAGATION_MS
    },
    retryRatio: number('retries', 'ratio'),
    retryAllowance: number('retries', 'allowance'),
    retryWindowMs: number('retries', 'window_seconds') * MS_PER_SECOND,
    loadBoundFactor: number('load', 'bound_factor'),
    warmUpOverage: optionalNumber('warm_up', 'overage') ?? DEFAULT_WARM_UP_OVERAGE,
    warmUpTolerance: optionalNumber('warm_up', 'tolerance') ?? DEFAULT_WARM_UP_TOLERANCE,
    maximumResponseBytes: optionalNumber('endpoints', 'maximum_response_bytes') ?? DEFAULT_MAXIMUM_RESPONSE_BYTES,
    grantsSlots: value('dispatch', 'slot_grants') !== 'false',
    ejectsOutliers: value('outliers', 'ejection') !== 'false'
  }
}

function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new MimosarockError(ResultCode.SETTINGS_FILE_UNREADABLE, `cannot read ${path}`, { cause: error, field: path })
  }
}

function readValue (sections: Readonly<Record<string, Section | undefined>>, section: string, key: string): string | undefined {
  const value = sections[section]?.[key]
  return value === undefined || value === '' ? undefined : String(value)
}

function readRegions (section: Section | undefined): Readonly<Record<string, string>> {
  return Object.fromEntries(Object.entries(section ?? {}).map(([zone, region]) => [zone, String(region)]))
}

function required (value: string | undefined, field: string): string {
  if (value === undefined) throw new MimosarockError(ResultCode.SETTINGS_MISSING_KEY, `${field} is not set`, { field })
  return value
}

function readAddress (value: string | undefined, field: string): string {
  const address = required(value, field)
  if (!isAddress(address)) {
    throw new MimosarockError(ResultCode.SETTINGS_INVALID_VALUE, `${field} must be an address of the form host:port`, { field })
  }
  return address
}

function readNumber (value: string | undefined, field: string): number {
  const number = Number(required(value, field))
  if (!Number.isFinite(number) || number < 0) {
    throw new MimosarockError(ResultCode.SETTINGS_INVALID_VALUE, `${field} must be a non-negative number`, { field })
  }
  return number
}

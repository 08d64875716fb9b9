import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { readGatewaySettings } from '@mimosarock/gateway/settings/read-gateway-settings.js'

const folder = mkdtempSync(join(tmpdir(), 'gateway-settings-'))

/** Returns the deployment template, filled in as the platform does. */
function settingsText (): string {
  const values: Record<string, string> = {
    nodeName: 'vm-1',
    zone: 'z-a',
    region: 'r-1',
    ip: '10.1.0.40',
    'limits.maxFds': '4200',
    'limits.memoryMb': '350',
    'listen.frontend': '10.1.0.40:8227',
    'listen.readiness': '10.1.0.40:8220',
    'listen.controlPlane': '10.1.0.40:8229',
    'platform.address': '10.200.1.7:8223',
    seeds: '10.1.0.40:8229,10.2.0.29:8229',
    'bounds.graceS': '8',
    'bounds.failClosed': 'true',
    'bounds.revokeMs': '5000',
    'bounds.drainMs': '3000',
    'bounds.configApplyMs': '2500',
    'bounds.retryRatio': '0.2',
    'bounds.budgetSlack': '52',
    'bounds.retryWindowS': '10',
    'bounds.capFactor': '2',
    'bounds.warmupOverage': '1.5',
    'bounds.warmupTolerance': '5'
  }
  const template = readFileSync(new URL('../../../../deploy/router.ini.template', import.meta.url), 'utf8')
  const zones = { 'z-a': 'r-1', 'z-b': 'r-2' }
  const zoneLines = Object.entries(zones).map(([zone, region]) => `${zone} = ${region}\n`).join('')
  return template.replace(/\{\{#zones\}\}\n.*\n\{\{\/zones\}\}\n/, zoneLines).replace(/\{\{([^}]+)\}\}/g, (_, name: string) => values[name] ?? '')
}

function read (text: string): unknown {
  const path = join(folder, 'router.ini')
  writeFileSync(path, text)
  try {
    return readGatewaySettings(path)
  } catch (error) {
    const { code, field } = error as { code: number, field: string }
    return { code, field }
  }
}

test('reads all settings from the deployment template', () => {
  expect(read(settingsText())).toMatchSnapshot()
})

test('ignores unknown sections and keys', () => {
  expect(read(`${settingsText()}\n[new]\nkey = 1\n`)).toEqual(read(settingsText()))
})

test.each([
  ['a missing value', /^name = .*$/m, 'name =', { code: 1005, field: 'vm.name' }],
  ['a value that is not a number', /^ratio = .*$/m, 'ratio = much', { code: 1004, field: 'retries.ratio' }],
  ['a negative number', /^allowance = .*$/m, 'allowance = -1', { code: 1004, field: 'retries.allowance' }],
  ['a value that is not an address', /^callers = .*$/m, 'callers = here', { code: 1004, field: 'listen.callers' }]
])('reports %s with a result code and the field', (_name, pattern, replacement, expected) => {
  expect(read(settingsText().replace(pattern, replacement))).toEqual(expected)
})

// Guards against a switch that is read but has no effect: both are on by default, as the template has neither.
test.each([['dispatch', 'slot_grants', 'grantsSlots'], ['outliers', 'ejection', 'ejectsOutliers']])('[%s] %s = false turns it off', (section, key, name) => {
  const template = settingsText()
  expect(read(`${template}\n[${section}]\n${key} = true\n`)).toEqual(read(template))
  expect(read(`${template}\n[${section}]\n${key} = false\n`)).toEqual({ ...read(template) as object, [name]: false })
})

test('reports a missing file with a result code', () => {
  expect(() => readGatewaySettings(join(folder, 'none.ini'))).toThrow(expect.objectContaining({ code: 1001 }))
})

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { EventEmitter } from 'node:events'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { runRouterCli } from '../run-router-cli.js'
import { settingsPage } from '../settings/settings-page.js'

const VALID = `[router]
availability_zone = a
[callers]
address = 127.0.0.1:0
[forwards]
address = 127.0.0.1:0
[peers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:0
[platform]
log_service_url = http://127.0.0.1:9001
vm_list_url = http://127.0.0.1:9002
`
const FAULTS: ReadonlyArray<(text: string) => string> = [
  (text) => `${text}colour = green\n`,
  (text) => `${text}[colours]\n`,
  (text) => `${text}[membership]\nheartbeat_ms = 5s\n`,
  (text) => `${text}[membership]\nheartbeat_ms = 5\n`,
  (text) => `${text}[membership]\nheartbeat_seconds = 5\n`,
  (text) => text.replace('availability_zone = a\n', ''),
  (text) => text.replace('[router]\navailability_zone = a\n', ''),
  (text) => text.replace('127.0.0.1:0', 'localhost:80'),
  (text) => text.replace('http://127.0.0.1:9001', 'nowhere'),
  (text) => `${text}half a line\n`,
  (text) => `availability_zone = b\n${text}`,
  (text) => `${text}log_service_url = http://127.0.0.1:9003\n`,
  (text) => text.replace('[operators]\naddress = 127.0.0.1:0', '[operators]\naddress = 10.0.0.1:7400'),
  (text) => text.replace('[peers]\naddress = 127.0.0.1:0', '[peers]\naddress = 10.0.0.1:7300'),
  (text) => text.replace('[forwards]\naddress = 127.0.0.1:0', '[forwards]\naddress = 10.0.0.1:7200'),
  (text) => text.replace('[operators]', '[operators]\ntokens_file = /nowhere'),
  (text) => text.replace('[operators]', '[operators]\ntokens_environment = MIMOSAROCK_UNSET')
]
let folder: string
let file: string

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'mimosarock-'))
  file = join(folder, 'router.ini')
})

afterEach(() => rmSync(folder, { recursive: true }))

async function run (...commandArguments: string[]): Promise<string> {
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const createRouter = (): never => { throw new Error('no router may be started') }
  const code = await runRouterCli(commandArguments, { env: {}, stdin: process.stdin, stdout, stderr, colorDepth: 1, signals: new EventEmitter(), createRouter })
  return `${String(stdout.read() ?? '')}${String(stderr.read() ?? '')}exit ${code}`.replaceAll(file, 'FILE')
}

test('each fault in a settings file is reported as one line with code, key and line or section, and no router starts', async () => {
  const printed: string[] = []
  for (const fault of FAULTS) {
    writeFileSync(file, fault(VALID))
    printed.push(await run('run', '--settings', file))
  }
  expect(printed).toMatchSnapshot()
})

test('a missing file, a missing option and an unknown command are each reported with a result code', async () => {
  expect([await run('run', '--settings', file), await run('check'), await run('walk')]).toMatchSnapshot()
})

test('check prints the settings in effect', async () => {
  writeFileSync(file, VALID)
  expect(await run('check', '--settings', file)).toMatchSnapshot()
})

test('secrets are read and never printed', async () => {
  const tokens = join(folder, 'tokens')
  writeFileSync(tokens, 'ann a-very-long-secret-token\n')
  writeFileSync(file, VALID.replace('[operators]', `[operators]\ntokens_file = ${tokens}`))
  expect(await run('check', '--settings', file)).not.toContain('a-very-long')
  writeFileSync(tokens, 'ann short-token\n')
  expect(await run('check', '--settings', file)).toMatch(/^error 1004 SETTINGS_INVALID_VALUE: \[operators\] tokens: line 1 is not/)
})

test('docs/SETTINGS.md equals the output of the settings command', async () => {
  const page = readFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), 'utf8')
  expect(page).toBe(settingsPage())
  expect(await run('settings')).toBe(`${page}exit 0`)
})

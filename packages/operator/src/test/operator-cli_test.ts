import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { toJsonString } from '@bufbuild/protobuf'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { sampleConfiguration } from '../../../coordination/src/test/sample-configuration.js'
import { OperatorFixture } from './operator-fixture.js'

const KEY = '0198c5d0-0000-7000-8000-000000000001'
let fixture: OperatorFixture
let folder: string
let file: string

beforeEach(async () => {
  fixture = new OperatorFixture()
  await fixture.start()
  folder = mkdtempSync(join(tmpdir(), 'mimosarock-'))
  file = join(folder, 'configuration.json')
  writeFileSync(file, toJsonString(ConfigurationSchema, sampleConfiguration()))
})

afterEach(async () => {
  await fixture.stop()
  rmSync(folder, { recursive: true })
})

async function transcript (lines: readonly string[]): Promise<string> {
  const printed: string[] = []
  for (const line of lines) printed.push(`$ ${line.replace(file, 'FILE')}\n${(await fixture.run(line)).replaceAll(file, 'FILE')}`)
  return printed.join('\n').replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME').replaceAll(/current \d+ ms/g, 'current N ms')
}

test('pools, routes, workspaces and retirements can be set, listed, shown and removed', async () => {
  expect(await transcript([
    `configuration dry-run ${file} --based-on 0`,
    `configuration apply ${file} --based-on 0`,
    `configuration apply ${file} --based-on 1`,
    'workspace set beta --priority 5 --requests-per-second 2.5 --based-on 1',
    'workspace list',
    'pool set-endpoint chat engine-3 --address 10.0.0.9:8000 --availability-zone c --capacity 4 --based-on 2',
    'pool list',
    'pool show lost',
    'route set gifts --deadline-ms 2000 --based-on 3',
    'route list',
    'retirement start chat engine-1 --reason worn --based-on 4',
    'retirement list',
    'retirement end chat/engine-1 --based-on 5',
    'pool remove-endpoint chat engine-2 --based-on 6',
    'retirement-rule list',
    'workspace remove beta --based-on 7 --json --change-id fixed',
    'configuration show'
  ])).toMatchSnapshot()
})

test('rejected commands report the invalid value or the conflicting change', async () => {
  await fixture.run(`configuration apply ${file} --based-on 0`)
  await fixture.run('workspace set beta --priority 1 --based-on 1')
  expect(await transcript([
    'workspace set gamma --priority 1 --based-on 1',
    'workspace set gamma --priority 77 --based-on 2',
    'workspace set gamma --priority high --based-on 2',
    'pool remove chat --based-on 2',
    'workspace set gamma --priority 1',
    'configuration rollback 9 --based-on 2',
    'configuration show --revision 9',
    'configuration apply /nowhere.json --based-on 2',
    `configuration recover ${file} --based-on 2`,
    'audit list --operator local --limit 4'
  ])).toMatchSnapshot()
})

test('revisions are compared, rolled back and waited for', async () => {
  await fixture.run(`configuration apply ${file} --based-on 0`)
  await fixture.run('workspace set beta --priority 1 --based-on 1')
  fixture.otherRevisions.push(1)
  expect(await transcript([
    'configuration compare 1 2',
    'configuration rollback 1 --based-on 2 --wait-ms 0',
    'configuration wait --revision 3 --timeout-ms 80',
    'audit list --workspace beta'
  ])).toMatchSnapshot()
})

test('operations in doubt are listed and settled once', async () => {
  expect(await transcript([
    'operation list --state in-doubt',
    `operation settle alpha ${KEY} not-run --reason checked`,
    `operation settle alpha ${KEY} not-run --reason checked`,
    'operation show alpha lost',
    'fleet show'
  ])).toMatchSnapshot()
})

test('a command repeated after a lost response returns the result of the first attempt', async () => {
  await fixture.run(`configuration apply ${file} --based-on 0 --change-id first`)
  await fixture.run('workspace set beta --priority 1 --based-on 1')
  const repeated = await fixture.run(`configuration apply ${file} --based-on 0 --change-id first --wait-ms 0`)
  expect(repeated).toBe('revision 1 at offset 1\nexit 0')
  fixture.log.faults.lostAnswers = 1
  expect(await fixture.run('workspace set gamma --priority 1 --based-on 2 --wait-ms 0')).toBe('revision 3 at offset 3\nexit 0')
})

test('an operator without a valid token is rejected', async () => {
  const fixtureWithTokens = new OperatorFixture(new Map([['ann', 'a-token-of-sixteen-characters']]))
  await fixtureWithTokens.start()
  const tokenFile = join(folder, 'token')
  writeFileSync(tokenFile, 'a-token-of-sixteen-characters\n')
  expect(await fixtureWithTokens.run('workspace list')).toMatch(/^error 6001 UNAUTHENTICATED/)
  await fixtureWithTokens.run(`configuration apply ${file} --based-on 0 --token-file ${tokenFile}`)
  expect(fixtureWithTokens.configuration.fold.findAudit({ actor: 'ann' }).length).toBeGreaterThan(0)
  await fixtureWithTokens.stop()
})

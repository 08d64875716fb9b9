import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { expect, test } from 'vitest'

const run = promisify(execFile)
const root = fileURLToPath(new URL('../../../../', import.meta.url))
const readme = readFileSync(`${root}README.md`, 'utf8')
const programs = [...new Set([...readme.matchAll(/^npx (\S+)/gm)].map(([, name]) => name as string))]

// Guards against programs that the README names and `npx` does not find after `npm ci && npm run build`: npm links a program only if its file exists when it
// installs.
test.each(programs)('npx %s runs the program of this workspace', async (program) => {
  const { stdout } = await run('npx', ['--no-install', program, '--help'], { cwd: root })
  expect(stdout).toContain(program)
})

test('the README names both programs', () => {
  expect(programs.sort()).toEqual(['mimosarock', 'mimosarock-router'])
})

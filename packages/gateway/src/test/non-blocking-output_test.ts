import { closeSync, mkdtempSync, openSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { NonBlockingOutput } from '@mimosarock/gateway/logging/non-blocking-output.js'

test('writes lines in order, and drops and counts lines beyond the buffer limit', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'output-')), 'log')
  const descriptor = openSync(path, 'w')
  const output = new NonBlockingOutput(descriptor)
  output.write('first\n')
  for (let line = 0; line < 4; line += 1) output.write(`${'x'.repeat(100_000)}\n`)
  await output.flush()
  closeSync(descriptor)
  const lines = readFileSync(path, 'utf8').split('\n')
  expect(lines.map((line) => line.slice(0, 60))).toEqual([
    'first', 'x'.repeat(60), 'x'.repeat(60), 'level=warn event=log-lines-dropped lines=2', ''
  ])
})

test('the limit of the buffer counts bytes, not characters', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'output-')), 'log')
  const descriptor = openSync(path, 'w')
  const output = new NonBlockingOutput(descriptor)
  for (let line = 0; line < 3; line += 1) output.write(`${'ž'.repeat(60_000)}\n`)
  await output.flush()
  closeSync(descriptor)
  const lines = readFileSync(path, 'utf8').split('\n')
  expect(lines.map((line) => line.startsWith('ž') ? line.length : line)).toEqual([60_000, 60_000, 'level=warn event=log-lines-dropped lines=1', ''])
})

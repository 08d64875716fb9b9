// Runs the tests through the Node.js API of vitest and prints `N passed, N failed`.
// Failures that KNOWN-RED.txt lists are printed and tolerated; any other failure fails the run.
import { existsSync, readFileSync } from 'node:fs'
import { startVitest } from 'vitest/node'

const KNOWN_RED = new URL('../KNOWN-RED.txt', import.meta.url)

/** Returns the full names of the tests that KNOWN-RED.txt lists in lines that start with `test: `. */
function readKnownFailures () {
  if (!existsSync(KNOWN_RED)) return new Set()
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n')
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
}

const filters = process.argv.slice(2)
const vitest = await startVitest('test', filters, { watch: false, run: true })
const knownFailures = readKnownFailures()
let passed = 0
let failed = 0
let unexpected = 0
for (const module of vitest.state.getTestModules()) {
  if (module.errors().length > 0) {
    failed += 1
    unexpected += 1
  }
  for (const test of module.children.allTests()) {
    const state = test.result().state
    if (state === 'passed') passed += 1
    if (state !== 'failed') continue
    failed += 1
    if (knownFailures.has(test.fullName)) console.log(`known red: ${test.fullName}`)
    else unexpected += 1
  }
}
const unhandled = vitest.state.getUnhandledErrors().length
await vitest.close()
if (unhandled > 0) console.log(`${unhandled} unhandled errors`)
console.log(`${passed} passed, ${failed} failed`)
process.exit(unexpected > 0 || unhandled > 0 || passed === 0 ? 1 : 0)

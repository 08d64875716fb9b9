// Frame of a case: a temporary folder, the record, the exit status, and the end of all processes that it started.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2

/**
 * Runs a case and ends the process: with 1 if it returns the violations of the rule, 0 if there are none, 2 if it could not run.
 * @param recordPath file that gets what was sent, answered and run
 * @param play plays the case; gets the frame, returns the list of violations
 */
export async function runCase (recordPath, play) {
  const startedAt = performance.now()
  const lines = []
  const directory = mkdtempSync(join(tmpdir(), 'mimosarock-review-'))
  const routers = []
  const frame = {
    directory,
    routers,
    hasTrouble: process.env.TROUBLE !== '0',
    nowMs: () => Math.round(performance.now() - startedAt),
    note: (text) => lines.push(`${String(frame.nowMs()).padStart(6)} ${text}`)
  }
  let status = COULD_NOT_RUN
  try {
    frame.note(frame.hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
    const violations = await play(frame)
    for (const violation of violations) frame.note(`VIOLATION ${violation}`)
    status = violations.length > 0 ? BROKEN : HELD
    frame.note(status === BROKEN ? `the rule was broken: ${violations.length}` : 'the rule held')
  } catch (error) {
    frame.note(`could not run: ${error.stack}`)
  }
  for (const router of routers) router.signal('SIGCONT')
  for (const router of routers) router.signal('SIGKILL')
  await Promise.race([Promise.all(routers.map((router) => router.exited)), sleep(2000)])
  rmSync(directory, { recursive: true, force: true })
  writeFileSync(recordPath, lines.join('\n') + '\n')
  console.log(lines.filter((line) => !line.includes(' . ')).slice(-12).join('\n'))
  process.exit(status)
}

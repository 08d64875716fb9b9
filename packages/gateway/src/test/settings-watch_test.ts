import { mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { SettingsWatch } from '@mimosarock/gateway/settings/settings-watch.js'

test('a file that was changed, or replaced after it was away, is noticed once', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'settings-watch-')), 'router.ini')
  let changes = 0
  const watch = new SettingsWatch(path, () => { changes += 1 })
  const seen: number[] = []
  const look = async (): Promise<void> => {
    await watch.check()
    seen.push(changes)
  }
  writeFileSync(path, 'one')
  utimesSync(path, 1_000, 1_000)
  await look()
  utimesSync(path, 2_000, 2_000)
  await look()
  await look()
  rmSync(path)
  await look()
  writeFileSync(path, 'two')
  utimesSync(path, 3_000, 3_000)
  await look()
  expect(seen).toEqual([0, 1, 1, 1, 2])
})

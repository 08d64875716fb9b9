import { mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { SettingsWatch } from '@mimosarock/gateway/settings/settings-watch.js'

test('reports a change once after the file was modified, and once after it was removed and written again', async () => {
  const path = join(mkdtempSync(join(tmpdir(), 'settings-watch-')), 'router.ini')
  let changes = 0
  const watch = new SettingsWatch(path, () => { changes += 1 })
  const seen: number[] = []
  const checkOnce = async (): Promise<void> => {
    await watch.check()
    seen.push(changes)
  }
  writeFileSync(path, 'one')
  utimesSync(path, 1_000, 1_000)
  await checkOnce()
  utimesSync(path, 2_000, 2_000)
  await checkOnce()
  await checkOnce()
  rmSync(path)
  await checkOnce()
  writeFileSync(path, 'two')
  utimesSync(path, 3_000, 3_000)
  await checkOnce()
  expect(seen).toEqual([0, 1, 1, 1, 2])
})

import { expect, test } from 'vitest'
import { Demo } from '../demo/demo.js'
import { DemoReport } from '../demo/demo-report.js'

test('all checks of the demo pass', async () => {
  const lines: string[] = []
  const report = new DemoReport((line) => lines.push(line))
  const fleet = await new Demo(report).run()
  await fleet.stop()
  expect(lines.filter((line) => line.includes('BROKEN'))).toEqual([])
  expect(lines.filter((line) => line.includes('held')).length).toBeGreaterThan(10)
})

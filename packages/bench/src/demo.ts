import { Demo } from './demo/demo.js'
import { DemoReport } from './demo/demo-report.js'

const report = new DemoReport((line) => process.stdout.write(`${line}\n`))
const fleet = await new Demo(report).run()
process.stdout.write(report.failedCount === 0 ? '\nall checks passed\n' : `\n${report.failedCount} checks failed\n`)
if (process.argv.includes('--keep')) {
  const router = fleet.callerAddress(0)
  process.stdout.write(`\nthe fleet runs until interrupted:\n  curl -s http://${router}/v1/chat/completions -H 'content-type: application/json' -H 'mimosarock-workspace: alpha' -d '{"model":"m","messages":[{"role":"user","content":"hello"}]}'\n  npx mimosarock fleet show --router http://${fleet.routers[0]?.addresses.operators ?? ''}\n`)
  await new Promise((resolve) => process.once('SIGINT', resolve))
}
await fleet.stop()
process.exit(report.failedCount === 0 ? 0 : 1)

import { Demo } from './demo/demo.js'
import { DemoReport } from './demo/demo-report.js'

const report = new DemoReport((line) => process.stdout.write(`${line}\n`))
const fleet = await new Demo(report).run()
process.stdout.write(report.brokenCount === 0 ? '\neverything promised held\n' : `\n${report.brokenCount} promises did not hold\n`)
if (process.argv.includes('--keep')) {
  const router = fleet.callers(0)
  process.stdout.write(`\nstill running, until interrupted:\n  curl -s http://${router}/v1/chat/completions -H 'content-type: application/json' -H 'mimosarock-workspace: alpha' -d '{"model":"m","messages":[{"role":"user","content":"hello"}]}'\n  npx mimosarock fleet show --router http://${fleet.routers[0]?.addresses.operators ?? ''}\n`)
  await new Promise((resolve) => process.once('SIGINT', resolve))
}
await fleet.stop()
process.exit(report.brokenCount === 0 ? 0 : 1)

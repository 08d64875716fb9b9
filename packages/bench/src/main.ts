import { Builtins, Cli } from 'clipanion'
import { MembershipBench } from './membership/membership-bench.js'
import { OverheadBench } from './overhead/overhead-bench.js'

const cli = new Cli({ binaryLabel: 'mimosarock bench', binaryName: 'npm run --silent bench --' })
cli.register(Builtins.HelpCommand)
cli.register(MembershipBench)
cli.register(OverheadBench)
process.exitCode = await cli.run(process.argv.slice(2))
process.exit()

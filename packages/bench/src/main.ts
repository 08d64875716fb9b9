import { Builtins, Cli } from 'clipanion'
import { ConfigurationBench } from './configuration/configuration-bench.js'
import { MembershipBench } from './membership/membership-bench.js'

const cli = new Cli({ binaryLabel: 'mimosarock bench', binaryName: 'npm run --silent bench --' })
cli.register(Builtins.HelpCommand)
cli.register(ConfigurationBench)
cli.register(MembershipBench)
process.exitCode = await cli.run(process.argv.slice(2))
process.exit()

import { Builtins, Cli } from 'clipanion'
import { CapacityBench } from './capacity/capacity-bench.js'
import { ConfigurationBench } from './configuration/configuration-bench.js'
import { DecisionBench } from './decision/decision-bench.js'
import { GatewayBench } from './gateway/gateway-bench.js'
import { MembershipBench } from './membership/membership-bench.js'
import { OperationsBench } from './operations/operations-bench.js'
import { OverheadBench } from './overhead/overhead-bench.js'
import { PlacementBench } from './placement/placement-bench.js'

const cli = new Cli({ binaryLabel: 'mimosarock bench', binaryName: 'npm run --silent bench --' })
cli.register(Builtins.HelpCommand)
cli.register(CapacityBench)
cli.register(ConfigurationBench)
cli.register(DecisionBench)
cli.register(GatewayBench)
cli.register(MembershipBench)
cli.register(OperationsBench)
cli.register(OverheadBench)
cli.register(PlacementBench)
process.exitCode = await cli.run(process.argv.slice(2))
process.exit()

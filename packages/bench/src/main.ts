import { Builtins, Cli } from 'clipanion'

const cli = new Cli({ binaryLabel: 'mimosarock bench', binaryName: 'npm run --silent bench --' })
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))
process.exit()

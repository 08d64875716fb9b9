#!/usr/bin/env node
import { Cli } from 'clipanion'
import { createOperatorCli } from './create-operator-cli.js'
import { runCli } from './run-cli.js'

process.exitCode = await runCli(createOperatorCli(), process.argv.slice(2), Cli.defaultContext)

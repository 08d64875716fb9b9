#!/usr/bin/env node
import { Cli } from 'clipanion'
import { createRouter } from './wiring/create-router.js'
import { runRouterCli } from './run-router-cli.js'

// Exits explicitly: a failed start may leave servers open, which would keep the process alive.
process.exit(await runRouterCli(process.argv.slice(2), { ...Cli.defaultContext, signals: process, createRouter }))

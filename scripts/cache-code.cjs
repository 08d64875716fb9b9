// Compiles the larger part of the router and keeps the result in target/, for scripts/load-with-code-cache.cjs.
// Run it with the flags of the runtime that deploy/system.toml sets; others would make the result useless.
const { copyFileSync, renameSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')

const target = join(__dirname, '..', 'target')
renameSync(join(target, 'start-router.cjs'), join(target, 'router-code.cjs'))
copyFileSync(join(__dirname, 'load-with-code-cache.cjs'), join(target, 'start-router.cjs'))
process.env.MIMOSAROCK_MAKE_CODE_CACHE = '1'
const { createCodeCache } = require(join(target, 'start-router.cjs'))
writeFileSync(join(target, 'router-code.cjs.cache'), createCodeCache())

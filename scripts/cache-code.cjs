// Compiles the start-router bundle and stores its code cache in target/, for scripts/load-with-code-cache.cjs.
// To be run with the Node.js flags that deploy/system.toml sets for the router; with other flags the cache is rejected.
const { copyFileSync, renameSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')

const target = join(__dirname, '..', 'target')
renameSync(join(target, 'start-router.cjs'), join(target, 'router-code.cjs'))
copyFileSync(join(__dirname, 'load-with-code-cache.cjs'), join(target, 'start-router.cjs'))
process.env.MIMOSAROCK_MAKE_CODE_CACHE = '1'
const { createCodeCache } = require(join(target, 'start-router.cjs'))
writeFileSync(join(target, 'router-code.cjs.cache'), createCodeCache())

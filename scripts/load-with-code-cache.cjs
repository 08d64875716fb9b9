// Becomes target/start-router.cjs: loads the larger part of the router with code that was compiled when it was built.
// When the runtime or its flags differ from those of the build, it takes no notice of that code and compiles as usual.
const { readFileSync } = require('node:fs')
const { createRequire, wrap } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const filename = join(__dirname, 'router-code.cjs')
const cachedData = process.env.MIMOSAROCK_MAKE_CODE_CACHE === undefined ? readFileSync(`${filename}.cache`) : undefined
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData })
const loaded = { exports: {} }
script.runInThisContext()(loaded.exports, createRequire(filename), loaded, filename, __dirname)

module.exports = { ...loaded.exports, codeCacheIsUsed: script.cachedDataRejected === false, createCodeCache: () => script.createCachedData() }

// Is copied to target/start-router.cjs, where it loads the start-router bundle with the code cache from the build.
// If the Node.js version or its flags differ from those of the build, V8 rejects the cache and compiles as usual.
const { readFileSync } = require('node:fs')
const { createRequire, wrap } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const filename = join(__dirname, 'router-code.cjs')
const cachedData = process.env.MIMOSAROCK_MAKE_CODE_CACHE === undefined ? readFileSync(`${filename}.cache`) : undefined
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData })
const loadedModule = { exports: {} }
script.runInThisContext()(loadedModule.exports, createRequire(filename), loadedModule, filename, __dirname)

module.exports = { ...loadedModule.exports, codeCacheIsUsed: script.cachedDataRejected === false, createCodeCache: () => script.createCachedData() }

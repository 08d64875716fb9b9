// Bundles the router for the platform into two files. The platform counts the full duration of a restart against the
// router, which is why only the modules in use of the two largest libraries are bundled.
import { fileURLToPath } from 'node:url'
import { rolldown } from 'rolldown'

const root = fileURLToPath(new URL('..', import.meta.url))

/** Entry modules that export only the used modules of a library, by library name. */
const USED_PARTS = {
  undici: `
    export { default as Agent } from 'undici/lib/dispatcher/agent.js'
    export { default as Pool } from 'undici/lib/dispatcher/pool.js'
    export { default as buildConnector } from 'undici/lib/core/connect.js'
    import apiRequest from 'undici/lib/api/api-request.js'
    export function request (url, { dispatcher, ...options }) {
      const { origin, pathname, search } = new URL(url)
      return apiRequest.call(dispatcher, { ...options, origin, path: pathname + search })
    }`,
  'prom-client': `
    export { default as Counter } from 'prom-client/lib/counter.js'
    export { default as Gauge } from 'prom-client/lib/gauge.js'
    export { default as Histogram } from 'prom-client/lib/histogram.js'
    export { default as Registry } from 'prom-client/lib/registry.js'`
}

const usedParts = {
  name: 'used-parts',
  resolveId (id) {
    return USED_PARTS[id] === undefined ? undefined : `\0used-parts:${id}`
  },
  load (id) {
    return id.startsWith('\0used-parts:') ? USED_PARTS[id.slice('\0used-parts:'.length)] : undefined
  }
}

/** The logging library tries to load optional packages at each start; this router uses none of them. */
const OPTIONAL_PACKAGES = /require\('(dtrace-provider|mv|safe-json-stringify|source-map-support)'( \+ '')?\)/g
const withoutOptionalPackages = {
  name: 'without-optional-packages',
  transform (code, id) {
    if (!id.endsWith('/bunyan/lib/bunyan.js')) return undefined
    return code.replace(OPTIONAL_PACKAGES, '(() => { throw new Error(\'not bundled\') })()')
  }
}

/** Endpoints use HTTP/1.1 only. The HTTP/2 client of undici would load the HTTP/2 module of Node.js at each start. */
const withoutHttp2 = {
  name: 'without-http2',
  load (id) {
    if (!id.endsWith('/undici/lib/dispatcher/client-h2.js')) return undefined
    return 'module.exports = () => { throw new Error(\'HTTP/2 is not bundled\') }'
  }
}

/**
 * Node.js loads CommonJS modules faster than ES modules, but they can't use top-level await. platform/start-router.ts
 * awaits the loading of the hash functions instead.
 */
const withoutTopLevelAwait = {
  name: 'without-top-level-await',
  transform (code, id) {
    return id.endsWith('/placement/src/hash.ts') ? code.replace('await hash.load()', '') : undefined
  }
}

/** Resolves sibling packages to their sources, which makes a prior build unnecessary. */
const workspaceSources = {
  name: 'workspace-sources',
  resolveId (id) {
    const match = /^@mimosarock\/([^/]+)\/(.+)\.js$/.exec(id)
    return match === null ? undefined : `${root}packages/${match[1]}/src/${match[2]}.ts`
  }
}

/** Bundles the entry and start-router separately; otherwise loading start-router would run the entry. */
const externalStartRouter = {
  name: 'external-start-router',
  resolveId (id) {
    return id === './start-router.js' ? { id: './start-router.cjs', external: true } : undefined
  }
}

for (const name of ['main', 'start-router']) {
  const bundle = await rolldown({
    input: `${root}platform/${name}.ts`,
    platform: 'node',
    plugins: [usedParts, withoutOptionalPackages, withoutHttp2, withoutTopLevelAwait, workspaceSources, externalStartRouter],
    resolve: { extensionAlias: { '.js': ['.ts', '.js'] } }
  })
  const file = `${root}target/${name === 'main' ? 'router' : name}.cjs`
  await bundle.write({ file, format: 'cjs', minify: true, dynamicImportInCjs: false })
  await bundle.close()
}

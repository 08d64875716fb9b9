// Bundles the router that runs on the users' platform into one file, which starts faster than many small ones.
import { fileURLToPath } from 'node:url'
import { rolldown } from 'rolldown'

const root = fileURLToPath(new URL('..', import.meta.url))

/** Reads the sources of sibling packages, so that no build has to come first. */
const workspaceSources = {
  name: 'workspace-sources',
  resolveId (id) {
    const match = /^@mimosarock\/([^/]+)\/(.+)\.js$/.exec(id)
    return match === null ? undefined : `${root}packages/${match[1]}/src/${match[2]}.ts`
  }
}

const bundle = await rolldown({
  input: `${root}platform/main.ts`,
  platform: 'node',
  // Optional parts of the logging library that this router does not use.
  external: ['dtrace-provider', 'source-map-support', 'mv', 'safe-json-stringify', 'moment'],
  plugins: [workspaceSources],
  resolve: { extensionAlias: { '.js': ['.ts', '.js'] } }
})
await bundle.write({ file: `${root}target/router.mjs`, format: 'esm', minify: false })
await bundle.close()

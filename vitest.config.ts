import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const packages = fileURLToPath(new URL('./packages', import.meta.url))

export default defineConfig({
  resolve: {
    // Resolves sibling packages to their sources, so that tests never run against a stale build.
    alias: [{ find: /^@mimosarock\/([^/]+)\/(.+)\.js$/, replacement: `${packages}/$1/src/$2.ts` }]
  },
  test: {
    include: ['packages/*/src/test/**/*_test.ts', 'platform/test/**/*_test.ts'],
    // The ES modules of clipanion import directories, which Node.js cannot resolve without a bundler.
    server: { deps: { inline: ['clipanion'] } },
    testTimeout: 30_000,
    hookTimeout: 30_000
  }
})

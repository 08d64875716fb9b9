import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const packages = fileURLToPath(new URL('./packages', import.meta.url))

export default defineConfig({
  resolve: {
    // Tests read the sources of sibling packages, so that they never see a stale build.
    alias: [{ find: /^@mimosarock\/([^/]+)\/(.+)\.js$/, replacement: `${packages}/$1/src/$2.ts` }]
  },
  test: {
    include: ['packages/*/src/test/**/*_test.ts', 'platform/test/**/*_test.ts'],
    // Its ES modules import directories, which only a bundler resolves.
    server: { deps: { inline: ['clipanion'] } },
    testTimeout: 30_000,
    hookTimeout: 30_000
  }
})

import { LoadableHash } from './loadable-hash.js'

/**
 * 64-bit and 32-bit xxHash functions shared by the process. CommonJS does not support top-level await, therefore the
 * bundler removes it and the router calls `load` at startup.
 */
export const hash = new LoadableHash()

await hash.load()

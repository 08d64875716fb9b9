import { LoadableHash } from './loadable-hash.js'

/** The 64 bit xxHash functions, loaded once for the process. */
export const hash = new LoadableHash()

await hash.load()

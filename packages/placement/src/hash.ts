import xxhash from 'xxhash-wasm'

/** The 64 bit xxHash functions, loaded once for the process. */
export const hash = await xxhash()

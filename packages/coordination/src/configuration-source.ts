import type { ConfigurationIndex } from './configuration-index.js'

/** The configuration in force at this router. */
export interface ConfigurationSource {
  /** The newest accepted configuration; undefined until one was read that is proved current. */
  current (): ConfigurationIndex | undefined
  /**
   * Calls back after each change.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onChange (listener: () => void): () => void
}

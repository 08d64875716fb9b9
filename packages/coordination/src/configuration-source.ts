import type { ConfigurationIndex } from './configuration-index.js'

/** Provides the configuration in force at this router. */
export interface ConfigurationSource {
  /** Returns the newest accepted configuration, or undefined before one has been proved current. */
  current (): ConfigurationIndex | undefined
  /**
   * Subscribes to changes of the configuration in force.
   * @param listener called after each change
   * @returns a function that removes the listener
   */
  onChange (listener: () => void): () => void
}

/** Order to a model engine. It is absolute: it lists all models and adapters that the engine should have loaded. */
export interface EngineOrder {
  readonly endpoint: string
  /** IP address and port of the engine. */
  readonly address: string
  readonly models: readonly string[]
  readonly adapters: readonly string[]
  readonly role: string
  /** The subset of `models` that the engine has not loaded and is not loading yet. */
  readonly loads: readonly string[]
}

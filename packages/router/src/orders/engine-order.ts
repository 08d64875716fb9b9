/** An absolute order: all that the engine is to hold. */
export interface EngineOrder {
  readonly endpoint: string
  /** IP number and port. */
  readonly address: string
  readonly models: readonly string[]
  readonly adapters: readonly string[]
  readonly role: string
  /** Models among them that the engine has to load. */
  readonly loads: readonly string[]
}

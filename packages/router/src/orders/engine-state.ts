/** State of a model engine, as read from the engine. */
export interface EngineState {
  /** Names of the loaded models. */
  readonly loaded: readonly string[]
  /** Names of the models that are being loaded. */
  readonly loading: readonly string[]
  readonly adapters: readonly string[]
  readonly role: string
}

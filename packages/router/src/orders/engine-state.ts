/** What a model engine holds, as it was read back from it. */
export interface EngineState {
  /** Models that are loaded. */
  readonly loaded: readonly string[]
  /** Models that are being loaded. */
  readonly loading: readonly string[]
  readonly adapters: readonly string[]
  readonly role: string
}

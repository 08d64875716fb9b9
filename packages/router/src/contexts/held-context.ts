/** What is known of one chat's context at one engine. */
export interface HeldContext {
  /** Tokens that the engine held when it was last heard of. */
  readonly tokens: number
  /** Whether every event since is known; otherwise the context may be gone. */
  readonly certain: boolean
  /** When it was last heard of, in monotonic milliseconds. */
  readonly heardAt: number
}

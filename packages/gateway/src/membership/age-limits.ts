/** How old a router's copy of one kind of state in the store may become. */
export interface AgeLimits {
  /** Age above which a router is not followed any more, in milliseconds. */
  readonly followMs: number
  /** Age above which a router reads the store itself, whomever it follows, in milliseconds. */
  readonly readMs: number
}

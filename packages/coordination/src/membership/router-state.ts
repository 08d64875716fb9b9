/** What this router knows of another router's state; the order is the precedence within one incarnation. */
const RouterState = {
  LIVE: 'live',
  /** Stops in order: keeps its connections, takes no new ownership. */
  LEAVING: 'leaving',
  /** Silent towards some router; live until removed. */
  SUSPECT: 'suspect',
  /** Silent for too long, or gone in order. */
  REMOVED: 'removed'
} as const

/** One of the states. */
type RouterState = typeof RouterState[keyof typeof RouterState]

export { RouterState }

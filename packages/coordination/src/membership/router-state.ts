/** State of a router in this router's view, in ascending order of precedence: a leaving router that is also a suspect is shown as a suspect. */
const RouterState = {
  LIVE: 'live',
  /** Shutting down gracefully: keeps its connections, accepts no new ownership. */
  LEAVING: 'leaving',
  /** Did not respond to some router; treated as live until removed. */
  SUSPECT: 'suspect',
  /** Unresponsive until the suspicion expired, or shut down gracefully. */
  REMOVED: 'removed'
} as const

/** One of the values of `RouterState`. */
type RouterState = typeof RouterState[keyof typeof RouterState]

export { RouterState }

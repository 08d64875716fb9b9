/** Kinds of faults that the placement bench can inject. */
const PlacementFault = {
  /** Engines fail and return with an empty cache. */
  CHURN: 'churn',
  /** One workspace starts many new chats. */
  SURGE: 'surge',
  /** Engines report loads and cache events late, and some cache events are lost. */
  LAG: 'lag',
  /** Routers are killed and replaced, so that the routers' views of the fleet diverge. */
  DISAGREE: 'disagree',
  /** Open connections to an engine permanently stop delivering data. */
  SILENT: 'silent'
} as const

/** Kind of fault that the placement bench can inject. */
type PlacementFault = typeof PlacementFault[keyof typeof PlacementFault]

export { PlacementFault }

/** Faults of the placement bench. */
const PlacementFault = {
  /** Engines are lost and come back empty. */
  CHURN: 'churn',
  /** One workspace begins many new chats. */
  SURGE: 'surge',
  /** Engines report load and cache events late and with gaps. */
  LAG: 'lag',
  /** Routers are lost and replaced, so that views of the fleet differ. */
  DISAGREE: 'disagree',
  /** Open connections to an engine go silent for good. */
  SILENT: 'silent'
} as const

/** One of the faults. */
type PlacementFault = typeof PlacementFault[keyof typeof PlacementFault]

export { PlacementFault }

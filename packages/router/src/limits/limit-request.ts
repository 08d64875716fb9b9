/** What a router wants of one workspace's limits, as it travels: workspace, slots, tokens, spare slots. */
export type LimitRequest = readonly [
  workspace: string,
  /** All slots that the router wants to hold from now on, those in use included. */
  slots: number,
  /** Further tokens that it wants. */
  tokens: number,
  /** Slots wanted beyond those, for callers to come; given only while most of the limit is free. */
  spareSlots: number
]

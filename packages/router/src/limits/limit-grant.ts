/** What a home router gives for a request, as it travels: slots, tokens, scarcity. */
export type LimitGrant = readonly [
  /** All slots that the router holds from now on. */
  slots: number,
  /** Further tokens, to be used within a second. */
  tokens: number,
  /** 1 if slots are scarce, so that free ones are to be returned at once; else 0. */
  scarce: number
]

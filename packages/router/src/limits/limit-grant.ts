/** Wire format of a home router's response to a `LimitRequest`: slots, tokens, scarcity. */
export type LimitGrant = readonly [
  /** Total number of slots that the router holds from now on. */
  slots: number,
  /** Additional tokens, which expire after one second. */
  tokens: number,
  /** 1 if slots are scarce and the router must return free ones without waiting for its next renewal, otherwise 0. */
  scarce: number
]

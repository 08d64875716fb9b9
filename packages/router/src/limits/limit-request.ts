/** Wire format of a router's request for slots and tokens of a workspace: workspace, slots, tokens, spare slots. */
export type LimitRequest = readonly [
  workspace: string,
  /** Total number of slots that the router requests to hold, including the ones in use. */
  slots: number,
  /** Number of additional tokens requested. */
  tokens: number,
  /** Additional slots requested for future callers; granted only while most of the limit is unused. */
  spareSlots: number
]

/** How this router gets permits from the router that it follows. */
export interface PermitSource {
  /** Returns whether it follows one. */
  readonly isFollowing: () => boolean
  /** Asks for permits soon. */
  readonly askSoon: () => void
}

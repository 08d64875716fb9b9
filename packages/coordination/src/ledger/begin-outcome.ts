/** Outcomes of an attempt to start an operation. */
const BeginOutcome = {
  /** The attempt won the key; its router may dispatch the operation until the dispatch window (setting `dispatch_window_ms`) has passed. */
  WON: 'won',
  /** The operation has run already and its response is stored. */
  ANSWERED: 'answered',
  /** The operation has run already, but its response is not stored: it was too large, was dropped, or an operator or a status check settled the operation. */
  ANSWER_NOT_KEPT: 'answer-not-kept',
  /** Another attempt has won the key and has no outcome yet. */
  IN_PROGRESS: 'in-progress',
  /** It is unknown whether the operation ran, until an operator or a status check settles it. */
  IN_DOUBT: 'in-doubt',
  /** The key was used for a request with a different digest. */
  KEY_REUSED: 'key-reused',
  /** The key is older than the ledger's horizon, before which operations may have been deleted. */
  KEY_TOO_OLD: 'key-too-old',
  /** Another attempt won the key and was then recorded or settled as not run; a new attempt may win it. */
  NOT_RUN: 'not-run'
} as const

/** Outcome of an attempt to start an operation. */
type BeginOutcome = typeof BeginOutcome[keyof typeof BeginOutcome]

export { BeginOutcome }

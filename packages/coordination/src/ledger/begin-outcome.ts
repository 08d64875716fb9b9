/** How an attempt to start an operation ended. */
const BeginOutcome = {
  /** The attempt won the key; its caller may dispatch within the dispatch window. */
  WON: 'won',
  /** The operation ran before; its answer is at hand. */
  ANSWERED: 'answered',
  /** The operation ran before; its answer is no longer kept. */
  ANSWER_NOT_KEPT: 'answer-not-kept',
  /** Another attempt has won and has no outcome yet. */
  IN_PROGRESS: 'in-progress',
  /** It can't be told whether the operation ran, until it is settled. */
  IN_DOUBT: 'in-doubt',
  /** The key stands for a request with another body. */
  KEY_REUSED: 'key-reused',
  /** The key is older than the ledger's horizon. */
  KEY_TOO_OLD: 'key-too-old',
  /** Another attempt had won and was then proved not run; a new attempt may win. */
  NOT_RUN: 'not-run'
} as const

/** One of the outcomes. */
type BeginOutcome = typeof BeginOutcome[keyof typeof BeginOutcome]

export { BeginOutcome }

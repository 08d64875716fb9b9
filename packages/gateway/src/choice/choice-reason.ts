/** What decided a choice. */
const ChoiceReason = {
  /** The endpoint holds the prompt's shared context. */
  HOLDER: 'holder',
  /** First of the key's order that is under the bound. */
  HOME: 'home',
  /** Fewest requests in flight for its size. */
  LEAST_LOADED: 'least-loaded'
} as const
type ChoiceReason = typeof ChoiceReason[keyof typeof ChoiceReason]

export { ChoiceReason }

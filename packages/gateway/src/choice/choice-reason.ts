/** Reason for which an endpoint was chosen. */
const ChoiceReason = {
  /** The endpoint has cached the context that the prompt shares with earlier ones. */
  HOLDER: 'holder',
  /** The endpoint is the first one in the rendezvous order of the key that is below the load bound and has a free slot. */
  HOME: 'home',
  /** The endpoint has the fewest requests in flight relative to its slots. */
  LEAST_LOADED: 'least-loaded',
  /** The slot owner of the service has granted a slot of the endpoint. */
  GRANTED: 'granted',
  /** The endpoint was ejected for failures and gets a small part of its requests until it is known whether it has recovered. */
  TRIAL: 'trial'
} as const
type ChoiceReason = typeof ChoiceReason[keyof typeof ChoiceReason]

export { ChoiceReason }

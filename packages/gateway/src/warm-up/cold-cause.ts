/** Reason why an endpoint is cold. */
const ColdCause = {
  /** Its registration states it. */
  REGISTRATION: 'registration',
  /** A connection to it was lost, or it has refused one. */
  CONNECTION_LOST: 'connection-lost',
  /** The evacuation of its availability zone has ended. */
  EVACUATION_ENDED: 'evacuation-ended',
  /** Another router presumes it. */
  OTHER_ROUTER: 'other-router'
} as const
type ColdCause = typeof ColdCause[keyof typeof ColdCause]

export { ColdCause }

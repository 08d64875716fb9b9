/** Whether an endpoint may get new work. */
const EndpointAvailability = {
  LIVE: 'live',
  /** Retired by an operator or marked by the VM list: no new work, streams run on. */
  LEAVING: 'leaving',
  /** Probes fail or its circuit is open. */
  FAILED: 'failed'
} as const

/** One of the availabilities. */
type EndpointAvailability = typeof EndpointAvailability[keyof typeof EndpointAvailability]

export { EndpointAvailability }

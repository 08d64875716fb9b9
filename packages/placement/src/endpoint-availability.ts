/** Availability of an endpoint for new requests. */
const EndpointAvailability = {
  /** Accepts new requests. */
  LIVE: 'live',
  /** Retired by an operator or marked as leaving in the VM list; only requests in flight continue. */
  LEAVING: 'leaving',
  /** Health probes fail or the circuit is open. */
  FAILED: 'failed'
} as const

/** Availability of an endpoint. */
type EndpointAvailability = typeof EndpointAvailability[keyof typeof EndpointAvailability]

export { EndpointAvailability }

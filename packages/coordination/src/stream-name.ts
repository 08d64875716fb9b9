/** Names of the streams at the log service. */
const StreamName = {
  CONFIGURATION: 'configuration',
  LEDGER: 'ledger',
  LEASES: 'leases'
} as const

/** One of the stream names. */
type StreamName = typeof StreamName[keyof typeof StreamName]

export { StreamName }

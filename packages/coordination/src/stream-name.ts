/** Names of streams at the log service. */
const StreamName = {
  CONFIGURATION: 'configuration',
  /** Not a stream at present: the partitions of the ledger use the streams `operations-0`, `operations-1`, ... */
  LEDGER: 'ledger',
  LEASES: 'leases'
} as const

/** One of the stream names. */
type StreamName = typeof StreamName[keyof typeof StreamName]

export { StreamName }

/** Names of streams at the log service that are not numbered; the partitions of the ledger use `operations-0`, `operations-1`, ... */
const StreamName = {
  CONFIGURATION: 'configuration'
} as const

/** One of the stream names. */
type StreamName = typeof StreamName[keyof typeof StreamName]

export { StreamName }

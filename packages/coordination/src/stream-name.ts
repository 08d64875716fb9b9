/** Names of the project's streams at the log service. */
export const StreamName = {
  CONFIGURATION: 'configuration',
  LEDGER: 'ledger',
  LEASES: 'leases'
} as const

/** One of the stream names. */
export type StreamName = typeof StreamName[keyof typeof StreamName]

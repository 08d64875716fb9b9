/** What the platform's store tells, one topic each. */
const Topic = {
  CONFIGURATION: 'configuration',
  ENDPOINTS: 'endpoints',
  ROUTERS: 'routers'
} as const
type Topic = typeof Topic[keyof typeof Topic]

export { Topic }

/** Names of the store's topics. */
const Topic = {
  CONFIGURATION: 'configuration',
  ENDPOINTS: 'endpoints',
  ROUTERS: 'routers'
} as const
type Topic = typeof Topic[keyof typeof Topic]

export { Topic }

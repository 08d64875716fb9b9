/** Number of requests in flight by endpoint identity. */
export type LoadByEndpoint = Readonly<Record<string, number>>

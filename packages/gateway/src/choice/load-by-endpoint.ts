/** Requests in flight by endpoint. */
export type LoadByEndpoint = Readonly<Record<string, number>>

/** Number of requests in flight by endpoint id. */
export type LoadByEndpoint = Readonly<Record<string, number>>

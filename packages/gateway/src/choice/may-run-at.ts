import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Returns whether a request may run at an endpoint. The same function stands for the same constraint. */
export type MayRunAt = (endpoint: EndpointEntry) => boolean

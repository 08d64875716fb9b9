import type { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'

/** What this router knows of the state of endpoints, and what it learns from calls. */
export interface EndpointHealth {
  /**
   * Whether the endpoint may get new work.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  availability (pool: string, endpoint: string): EndpointAvailability
  /**
   * Notes a call that the endpoint answered.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  noteSuccess (pool: string, endpoint: string): void
  /**
   * Notes a call that the endpoint failed.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  noteFailure (pool: string, endpoint: string): void
  /**
   * Notes a call on which the endpoint fell silent.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  noteSilence (pool: string, endpoint: string): void
}

import type { EndpointAnswers } from './endpoint-answers.js'

/** Answers that a router, and those on whose behalf it syncs, got within the counted time. Each report replaces the previous one. */
export interface AnswerReport {
  /** Number of answers and failures of all endpoints together, by service. */
  readonly services: Readonly<Record<string, readonly [answers: number, failures: number]>>
  /** Endpoints with failures, those with most if there are many, and ejected endpoints that answered. */
  readonly endpoints: readonly EndpointAnswers[]
}

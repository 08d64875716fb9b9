/** Answers that a router, and those on whose behalf it syncs, got within the counted time. Each report replaces the previous one. */
export interface AnswerReport {
  /** Number of answers and failures of all endpoints together, by service. */
  readonly services: Readonly<Record<string, readonly [answers: number, failures: number]>>
  /**
   * Answers and failures of endpoints with failures, those with most if there are many, and of ejected endpoints that answered. Lists
   * without names of fields keep reports short.
   */
  readonly endpoints: readonly (readonly [id: string, startedAt: number, answers: number, failures: number])[]
}

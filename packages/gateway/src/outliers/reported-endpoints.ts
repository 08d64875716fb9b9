import type { AnswerReport } from './answer-report.js'
import type { EndpointAnswers } from './endpoint-answers.js'

/** Factor by which numbers that are partly estimated are rounded. */
const ROUNDING = 10

/**
 * Returns answers of endpoints in the form in which they are reported, those with most failures first.
 * @param endpoints answers of endpoints
 * @param maximum maximum number of endpoints; the others are left out
 */
export function reportedEndpoints (endpoints: readonly EndpointAnswers[], maximum: number): AnswerReport['endpoints'] {
  const sorted = [...endpoints].sort((left, right) => right.failures - left.failures)
  return sorted.slice(0, maximum).map(({ id, startedAt, answers, failures }) => [id, startedAt, rounded(answers), rounded(failures)])
}

function rounded (number: number): number {
  return Math.round(number * ROUNDING) / ROUNDING
}

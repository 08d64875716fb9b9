import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { AnswerReport } from './answer-report.js'
import type { AnswerSumsOptions } from './answer-sums-options.js'
import type { EndpointAnswers } from './endpoint-answers.js'
import { reportedEndpoints } from './reported-endpoints.js'

/** Answers of one endpoint, with the shares of those reports that list it. */
interface ListedSum {
  answers: number
  failures: number
  listedAnswersPerWeight: number
  listedFailuresPerWeight: number
}

/** Answers of a service. */
interface ServiceSum {
  answers: number
  failures: number
  /** Answers of endpoints that the reports do not list, per unit of weight. */
  unlistedAnswersPerWeight: number
  unlistedFailuresPerWeight: number
}

/**
 * Sums of the reports of several routers. A report lists few endpoints. What it counts in addition to those is divided among the others in
 * proportion to their weights, since routers choose endpoints in proportion to their slots.
 */
export class AnswerSums {
  private readonly _options: AnswerSumsOptions
  private readonly _listed = new Map<string, ListedSum>()
  private readonly _services = new Map<string, ServiceSum>()
  private readonly _weights = new Map<string, number>()

  /**
   * @param reports reports to sum
   * @param options endpoints and their weights
   */
  constructor (reports: Iterable<AnswerReport>, options: AnswerSumsOptions) {
    this._options = options
    for (const report of reports) this._add(report)
  }

  /**
   * Returns the names of the services with an endpoint that reports list with more than a number of failures.
   * @param failures the number
   */
  servicesAbove (failures: number): readonly string[] {
    const services = new Set<string>()
    for (const [id, sum] of this._listed) {
      const service = sum.failures > failures ? this._options.endpoints.find(id)?.service : undefined
      if (service !== undefined) services.add(service)
    }
    return [...services]
  }

  /**
   * Returns the answers of an endpoint.
   * @param endpoint the endpoint
   */
  of (endpoint: EndpointEntry): Pick<EndpointAnswers, 'answers' | 'failures'> {
    const sum = this._services.get(endpoint.service)
    if (sum === undefined) return { answers: 0, failures: 0 }
    const listed = this._listed.get(endpoint.id)
    const weight = this._options.weightOf(endpoint)
    const answers = (listed?.answers ?? 0) + weight * Math.max(0, sum.unlistedAnswersPerWeight - (listed?.listedAnswersPerWeight ?? 0))
    const failures = (listed?.failures ?? 0) + weight * Math.max(0, sum.unlistedFailuresPerWeight - (listed?.listedFailuresPerWeight ?? 0))
    return { answers, failures }
  }

  /**
   * Returns the sums as a report.
   * @param maximum maximum number of endpoints that are listed
   */
  toReport (maximum: number): AnswerReport {
    const endpoints = [...this._listed.keys()].flatMap((id) => {
      const entry = this._options.endpoints.find(id)
      return entry === undefined ? [] : [{ id, startedAt: entry.startedAt, ...this.of(entry) }]
    })
    const services = [...this._services].map(([service, { answers, failures }]) => [service, [answers, failures]] as const)
    return { services: Object.fromEntries(services), endpoints: reportedEndpoints(endpoints, maximum) }
  }

  private _add ({ services, endpoints }: AnswerReport): void {
    const listed = new Map<string, { readonly entry: EndpointEntry, readonly counted: EndpointAnswers }[]>()
    for (const [id, startedAt, answers, failures] of endpoints) {
      const entry = this._options.endpoints.find(id)
      if (entry === undefined) continue
      const counted = { id, startedAt, answers, failures }
      const ofService = listed.get(entry.service)
      if (ofService === undefined) listed.set(entry.service, [{ entry, counted }])
      else ofService.push({ entry, counted })
    }
    for (const [service, [answers, failures]] of Object.entries(services)) {
      const ofService = listed.get(service) ?? []
      const rest = { answers, failures, weight: this._weightOf(service) }
      for (const { entry, counted } of ofService) {
        rest.answers -= counted.answers
        rest.failures -= counted.failures
        rest.weight -= this._options.weightOf(entry)
      }
      const answersPerWeight = rest.weight > 0 ? Math.max(0, rest.answers) / rest.weight : 0
      const failuresPerWeight = rest.weight > 0 ? Math.max(0, rest.failures) / rest.weight : 0
      const sum = this._serviceSum(service)
      sum.answers += answers
      sum.failures += failures
      sum.unlistedAnswersPerWeight += answersPerWeight
      sum.unlistedFailuresPerWeight += failuresPerWeight
      for (const { entry, counted } of ofService) this._addListed(entry, counted, answersPerWeight, failuresPerWeight)
    }
  }

  private _addListed (entry: EndpointEntry, counted: EndpointAnswers, answersPerWeight: number, failuresPerWeight: number): void {
    let sum = this._listed.get(entry.id)
    if (sum === undefined) {
      sum = { answers: 0, failures: 0, listedAnswersPerWeight: 0, listedFailuresPerWeight: 0 }
      this._listed.set(entry.id, sum)
    }
    sum.listedAnswersPerWeight += answersPerWeight
    sum.listedFailuresPerWeight += failuresPerWeight
    // The answers of an earlier incarnation tell nothing of this one.
    if (counted.startedAt !== entry.startedAt) return
    sum.answers += counted.answers
    sum.failures += counted.failures
  }

  private _serviceSum (service: string): ServiceSum {
    let sum = this._services.get(service)
    if (sum === undefined) {
      sum = { answers: 0, failures: 0, unlistedAnswersPerWeight: 0, unlistedFailuresPerWeight: 0 }
      this._services.set(service, sum)
    }
    return sum
  }

  private _weightOf (service: string): number {
    let weight = this._weights.get(service)
    if (weight === undefined) {
      weight = this._options.endpoints.ready(service).reduce((sum, endpoint) => sum + this._options.weightOf(endpoint), 0)
      this._weights.set(service, weight)
    }
    return weight
  }
}

import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { AnswerSums } from './answer-sums.js'
import type { Ejection } from './ejection.js'
import type { EndpointAnswers } from './endpoint-answers.js'
import type { OutlierDetectorOptions } from './outlier-detector-options.js'

/** Minimum number of answers from which an endpoint is judged. */
const MINIMUM_ANSWERS = 8
/** Failure rate above which an endpoint may be ejected. */
const MINIMUM_FAILURE_RATE = 0.2
/** Multiple of the median failure rate of the service above which an endpoint may be ejected, in addition to a margin. */
const MEDIAN_MULTIPLE = 3
const MEDIAN_MARGIN = 0.05
/**
 * Standard deviations, and failures, by which an endpoint has to exceed the failures that are expected by the rate of the other endpoints.
 * With 10 answers and a failure rate of 5% everywhere, one endpoint in 70 exceeds 20% by chance, and one in 70,000 exceeds this.
 */
const DEVIATIONS = 4
const FAILURE_MARGIN = 2
/** Fraction of the endpoints of a service that may be ejected; one may always be. */
const MAXIMUM_EJECTED_FRACTION = 0.3
/** Maximum number of ejected endpoints of all services, which bounds the messages about them. */
const MAXIMUM_EJECTED = 256
/** Duration of the first ejection; doubles with each repeat. */
const EJECTION_MS = 2_000
const MAXIMUM_EJECTION_MS = 16_000
/** Time after which a trial ends; the counted time of the answers with the delay of reports. */
const TRIAL_MS = 2_500
/** Failures that end a trial at once; a single one may have other causes. */
const TRIAL_FAILURES = 2
/** Time after the end of an ejection for which the next one counts as a repeat. */
const REPEAT_MS = 30_000

/** The last ejection of an endpoint that was readmitted. */
interface PastEjection {
  readonly startedAt: number
  readonly times: number
  readonly endedAt: number
}

type AnswerCount = Pick<EndpointAnswers, 'answers' | 'failures'>

/** Endpoint with its answers. */
interface Judged extends AnswerCount {
  readonly endpoint: EndpointEntry
  readonly rate: number
}

/**
 * Decides which endpoints are ejected, by the answers that the whole fleet got: those that fail much more requests than the other endpoints
 * of their service. Does nothing where all endpoints of a service are alike.
 */
export class OutlierDetector {
  private readonly _options: OutlierDetectorOptions
  private readonly _clock: ElapsedClock
  private readonly _past = new Map<string, PastEjection>()

  /**
   * @param options endpoints, and the ejections to be changed
   * @param clock measures ejections and trials
   */
  constructor (options: OutlierDetectorOptions, clock: ElapsedClock) {
    this._options = options
    this._clock = clock
  }

  /**
   * Ejects and readmits endpoints.
   * @param sums answers that the fleet got
   * @returns ids of the endpoints that are ejected now and were not, or that failed their trial
   */
  detect (sums: AnswerSums): readonly string[] {
    const { ejections } = this._options
    this._forgetPast()
    // No endpoint of another service can exceed what chance explains. Most failures are single ones, so few services are judged.
    const services = new Set([...sums.servicesAbove(FAILURE_MARGIN), ...ejections.all.map(({ endpoint }) => endpoint.service)])
    return [...services].flatMap((service) => this._detectIn(service, sums))
  }

  private _detectIn (service: string, sums: AnswerSums): readonly string[] {
    const { endpoints, ejections } = this._options
    const ready = endpoints.ready(service)
    const judged = ready.map((endpoint) => judge(endpoint, sums))
    const admitted = judged.filter(({ endpoint }) => ejections.find(endpoint.id) === undefined)
    const limit = rateLimit(admitted)
    const ofService = ejections.all.filter(({ endpoint }) => endpoint.service === service)
    const ejected = ofService.filter((ejection) => this._endTrial(ejection, judge(ejection.endpoint, sums), limit))
    const room = Math.min(maximumEjected(ready.length) - ofService.length, MAXIMUM_EJECTED - ejections.size)
    const added = findOutliers(admitted, limit).slice(0, Math.max(0, room))
    for (const candidate of added) this._eject(candidate, this._pastTimes(candidate.endpoint) + 1, limit)
    return [...ejected.map(({ endpoint }) => endpoint.id), ...added.map(({ endpoint }) => endpoint.id)]
  }

  /** Ends the trial of an endpoint if its answers suffice. Returns whether the endpoint is ejected again. */
  private _endTrial (ejection: Ejection, judged: Judged, limit: number): boolean {
    const { ejections } = this._options
    if (!ejections.isOnTrial(ejection)) return false
    const isOver = this._clock.now() - ejection.until >= TRIAL_MS
    const isFailing = judged.failures > 0 && judged.rate > limit
    if (isFailing && (isOver || judged.failures >= TRIAL_FAILURES)) {
      this._eject(judged, ejection.times + 1, limit)
      return true
    }
    if (isOver || (!isFailing && judged.answers >= MINIMUM_ANSWERS)) this._readmit(ejection)
    return false
  }

  private _eject ({ endpoint, answers, failures }: Judged, times: number, limit: number): void {
    const ejectionMs = Math.min(MAXIMUM_EJECTION_MS, EJECTION_MS * 2 ** (times - 1))
    this._options.ejections.put({ endpoint, until: this._clock.now() + ejectionMs, times }, {
      answers: Math.round(answers), failures: Math.round(failures), limit_percent: Math.round(limit * 100)
    })
  }

  private _readmit ({ endpoint: { id, startedAt }, times }: Ejection): void {
    this._past.set(id, { startedAt, times, endedAt: this._clock.now() })
    this._options.ejections.remove(id)
  }

  private _pastTimes ({ id, startedAt }: EndpointEntry): number {
    const past = this._past.get(id)
    return past?.startedAt === startedAt ? past.times : 0
  }

  private _forgetPast (): void {
    for (const [id, { endedAt }] of this._past) if (this._clock.now() - endedAt >= REPEAT_MS) this._past.delete(id)
  }
}

function judge (endpoint: EndpointEntry, sums: AnswerSums): Judged {
  const { answers, failures } = sums.of(endpoint)
  return { endpoint, answers, failures, rate: answers > 0 ? failures / answers : 0 }
}

function maximumEjected (endpointCount: number): number {
  return Math.max(1, Math.floor(endpointCount * MAXIMUM_EJECTED_FRACTION))
}

// Returns the failure rate above which endpoints are outliers.
function rateLimit (admitted: readonly Judged[]): number {
  const rates = admitted.filter(({ answers }) => answers > 0).map(({ rate }) => rate).sort((left, right) => left - right)
  return Math.max(MINIMUM_FAILURE_RATE, MEDIAN_MULTIPLE * medianOf(rates) + MEDIAN_MARGIN)
}

// Returns the outliers, the worst first. Each is compared with the endpoints that are no worse: the others that fail would hide it.
function findOutliers (admitted: readonly Judged[], limit: number): readonly Judged[] {
  const rest = {
    answers: admitted.reduce((sum, { answers }) => sum + answers, 0), failures: admitted.reduce((sum, { failures }) => sum + failures, 0)
  }
  const outliers: Judged[] = []
  const candidates = admitted.filter(({ answers, rate }) => rate > limit && answers >= MINIMUM_ANSWERS)
  for (const candidate of candidates.sort((left, right) => right.rate - left.rate)) {
    const others = { answers: rest.answers - candidate.answers, failures: rest.failures - candidate.failures }
    if (!exceedsChance(candidate, others)) continue
    outliers.push(candidate)
    Object.assign(rest, others)
  }
  return outliers
}

// The numbers of answers are partly estimated, so the failures vary as if there were no upper bound of them (Poisson).
function exceedsChance ({ answers, failures }: AnswerCount, others: AnswerCount): boolean {
  if (others.answers <= 0) return false
  const expected = answers * Math.max(0, others.failures) / others.answers
  return failures > expected + DEVIATIONS * Math.sqrt(expected) + FAILURE_MARGIN
}

function medianOf (sorted: readonly number[]): number {
  const middle = sorted.length / 2
  const lower = sorted[Math.ceil(middle) - 1] ?? 0
  return (lower + (sorted[Math.floor(middle)] ?? lower)) / 2
}

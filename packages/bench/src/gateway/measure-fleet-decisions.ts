import type { DemandReport } from '@mimosarock/gateway/fairness/demand-report.js'
import type { AnswerReport } from '@mimosarock/gateway/outliers/answer-report.js'
import { fitSlope } from '../capacity/fit-slope.js'
import { measureShortestUs } from '../capacity/measure-shortest-us.js'
import type { Slope } from '../capacity/slope.js'
import { createFleetState } from './create-fleet-state.js'

const ENDPOINTS = 5_100
const SERVICES = 26
/** Numbers of routers whose reports reach the router that decides. In a large fleet the first router of each zone adds up those of its zone. */
const REPORT_COUNTS = [7, 14, 28, 56]
/** Maximum numbers of endpoints in a report of answers, and of workspaces in a report of demand. */
const REPORTED_ENDPOINTS = 64
const REPORTED_WORKSPACES = 8
const DECISION_INTERVAL_MS = 250
const DECISIONS = 8
const REPETITIONS = 3

/** Measures what the router that follows no other decides for the whole fleet every 250 ms, from reports of the maximum length. */
export function measureFleetDecisions (): Record<string, Slope> {
  // The first runs also compile the code, which must not count in the smallest point.
  for (const count of REPORT_COUNTS) {
    measureOutlierDecisionUs(count)
    measureShareDecisionUs(count)
  }
  return {
    outlier_decision_us: fitSlope('microseconds of a decision about outliers for each report', REPORT_COUNTS.map((count) => [count, measureOutlierDecisionUs(count)] as const)),
    share_decision_us: fitSlope('microseconds of a decision about shares of workspaces for each report', REPORT_COUNTS.map((count) => [count, measureShareDecisionUs(count)] as const))
  }
}

function measureOutlierDecisionUs (reports: number): number {
  const clock = { ms: 0, now: () => clock.ms }
  const { outliers } = createFleetState(ENDPOINTS, SERVICES, clock)
  const received = Array.from({ length: reports }, (_, index) => createAnswerReport(index))
  return measureShortestUs(() => {
    for (let decision = 0; decision < DECISIONS; decision += 1) {
      clock.ms += DECISION_INTERVAL_MS
      for (const [index, report] of received.entries()) outliers.report(`router-${index}`, report)
      if (outliers.ejectedCount > 0) throw new Error('endpoints were ejected although all are alike')
    }
  }, REPETITIONS) / DECISIONS
}

function createAnswerReport (router: number): AnswerReport {
  return {
    services: Object.fromEntries(Array.from({ length: SERVICES }, (_, service) => [`service-${service}`, [200, 10]])),
    endpoints: Array.from({ length: REPORTED_ENDPOINTS }, (_, index) => [`engine-${(router * REPORTED_ENDPOINTS + index) % ENDPOINTS}`, 1, 20, 1])
  }
}

function measureShareDecisionUs (reports: number): number {
  const clock = { ms: 0, now: () => clock.ms }
  const { fairness } = createFleetState(ENDPOINTS, SERVICES, clock)
  const received = Array.from({ length: reports }, (_, index) => createDemandReports(index))
  return measureShortestUs(() => {
    for (let decision = 0; decision < DECISIONS; decision += 1) {
      clock.ms += DECISION_INTERVAL_MS
      for (const [index, demand] of received.entries()) fairness.recordDemand(`router-${index}`, demand)
      if (fairness.limitedCount === 0) throw new Error('no workspace is limited although requests are refused')
    }
  }, REPETITIONS) / DECISIONS
}

function createDemandReports (router: number): readonly DemandReport[] {
  return Array.from({ length: SERVICES }, (_, service) => ({
    service: `service-${service}`,
    arrivalsPerSecond: 100,
    admittedPerSecond: 50,
    workspaces: Array.from({ length: REPORTED_WORKSPACES }, (_, index) => ({
      workspace: index === 0 ? 'large' : `workspace-${router * REPORTED_WORKSPACES + index}`, arrivalsPerSecond: index === 0 ? 40 : 5, admittedPerSecond: index === 0 ? 20 : 3
    }))
  }))
}

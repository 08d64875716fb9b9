import { expect, test } from 'vitest'
import { LoadForecast } from '@mimosarock/gateway/admission/load-forecast.js'

/** Records reports every half second; returns the forecast. */
function record (...reports: number[]): LoadForecast {
  const forecast = new LoadForecast()
  reports.forEach((requests, index) => forecast.record(requests, index * 500))
  return forecast
}

test('of long requests the last report counts', () => {
  expect(record(10, 10, 10, 20).requests(60_000)).toBeCloseTo(20, 0)
})

test('of short requests the mean of the reports counts, and it follows a lasting change', () => {
  expect(record(10, 10, 10, 20).requests(40)).toBeCloseTo(14, 0)
  expect(record(10, 10, 20, 20, 20, 20, 20, 20).requests(40)).toBeCloseTo(20, 0)
})

test('the last report counts while it is not known how long requests take', () => {
  expect(record(10, 20).requests(undefined)).toBe(20)
})

test('the first report is the mean of itself', () => {
  expect(record(7).requests(40)).toBe(7)
})

import type { Slope } from './slope.js'

/**
 * Target of each estimate, for one router, except that log appends are counted for the whole fleet. Estimates that have
 * no target are absent.
 */
const TARGETS: Readonly<Record<string, string>> = {
  control_core_share: '0.032',
  control_memory_mb: '128',
  control_bytes_per_second: '26,000',
  configuration_in_force_s: '14',
  log_appends_per_second: 'several hundred'
}

/** Result that the bench `capacity` prints. */
interface CapacityResult {
  readonly seed: number
  readonly slopes: Readonly<Record<string, Slope>>
  readonly endpoint_watch_bytes_per_second: number
  readonly at_target: Readonly<Record<string, number>>
}

/**
 * Renders the tables of docs/CAPACITY.md as Markdown.
 * @param result result of the bench `capacity`
 */
export function capacityTables (result: CapacityResult): string {
  const slopes = Object.entries(result.slopes).map(([name, { unit, slope, intercept, worst_residual: residual, points }]) =>
    `| \`${name}\` | ${slope} ${unit} | ${intercept} | ${residual} | ${points.map(([count, cost]) => `${count}: ${cost}`).join(', ')} |`)
  const target = Object.entries(result.at_target).map(([name, value]) => `| \`${name}\` | ${value} | ${TARGETS[name] ?? ''} |`)
  return [
    `Printed by \`npm run --silent bench -- capacity --seed ${result.seed}\`. The watch of one endpoint writes ${result.endpoint_watch_bytes_per_second} bytes a second.`,
    '',
    '| slope | value | at 0 | worst residual | points |',
    '| --- | --- | --- | --- | --- |',
    ...slopes,
    '',
    '| at 800 nodes | by today\'s mechanism | target |',
    '| --- | --- | --- |',
    ...target
  ].join('\n')
}

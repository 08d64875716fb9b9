import type { TestRouter } from './test-router.js'

/** Ids that a router sees as live. */
export function liveIds (router: TestRouter): string[] {
  return router.membership.live().map((identity) => identity.id)
}

import type { TestRouter } from './test-router.js'

/** Returns the ids of the routers that a router considers live. */
export function liveIds (router: TestRouter): string[] {
  return router.membership.live().map((identity) => identity.id)
}

import { z } from 'zod'

/** Answer of a router to `fleet.knowledge`. */
export const routerKnowledge = z.object({
  router: z.string(),
  isReader: z.boolean(),
  source: z.string().nullable(),
  storeEra: z.number().nullable(),
  configurationVersion: z.number(),
  configurationAgeMs: z.number(),
  endpointsAgeMs: z.number(),
  /** Left out by routers of an earlier version. */
  evacuatedZones: z.array(z.string()).default([]),
  routerCount: z.number()
})

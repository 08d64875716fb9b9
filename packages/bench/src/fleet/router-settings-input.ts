import type { z } from 'zod'
import type { RouterSettings } from '@mimosarock/router/settings/router-settings.js'

/** Settings of a router as they are given, section by section; every section and key may be left out. */
export type RouterSettingsInput = {
  readonly [Section in keyof z.input<typeof RouterSettings>]?: Partial<NonNullable<z.input<typeof RouterSettings>[Section]>>
}

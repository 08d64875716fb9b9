import type { z } from 'zod'
import type { RouterSettings } from '@mimosarock/router/settings/router-settings.js'

/** Settings of a router before defaults are applied, by section. Every section and key is optional. */
export type RouterSettingsInput = {
  readonly [Section in keyof z.input<typeof RouterSettings>]?: Partial<NonNullable<z.input<typeof RouterSettings>[Section]>>
}

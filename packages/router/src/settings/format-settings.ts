import { stringify } from 'ini'
import type { RouterSettings } from './router-settings.js'

/**
 * The settings in effect, as an INI text. Secrets are not part of the settings, only where they are kept.
 * @param settings the settings with their defaults
 */
export function formatSettings (settings: RouterSettings): string {
  return stringify(settings, { whitespace: true })
}

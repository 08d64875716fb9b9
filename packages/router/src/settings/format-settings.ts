import { stringify } from 'ini'
import type { RouterSettings } from './router-settings.js'

/**
 * Formats the settings in effect as an INI text. It contains no secrets: the settings only name the files and environment
 * variables that hold them.
 * @param settings the settings with their defaults filled in
 */
export function formatSettings (settings: RouterSettings): string {
  return stringify(settings, { whitespace: true })
}

import type { ConfigurationNews } from '../transfers/configuration-news.js'

/**
 * Returns how long ago a router knew which version of the configuration the store held, in milliseconds; negative if it never did.
 * @param answer answer of the router
 */
export function configurationAgeMs ({ awaitedConfiguration, configurationHeardAgeMs, configurationReadAgeMs }: ConfigurationNews): number {
  return awaitedConfiguration?.statedAgoMs ?? configurationHeardAgeMs ?? configurationReadAgeMs
}

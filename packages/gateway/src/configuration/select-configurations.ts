import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { OperatorRecord } from '../model/operator-record.js'
import type { TopicChange } from '../model/topic-change.js'
import type { TopicPage } from '../model/topic-page.js'

/**
 * Returns a page of operator records without those of availability zones, which say nothing about the configuration.
 * @param page page of the topic of operator records
 */
export function selectConfigurations (page: TopicPage<OperatorRecord>): TopicPage<GatewayConfiguration> {
  const changes = page.changes.flatMap<TopicChange<GatewayConfiguration>>(({ key, value }) => {
    if (value === undefined) return [{ key, value }]
    return 'configuration' in value ? [{ key, value: value.configuration }] : []
  })
  return { ...page, changes }
}

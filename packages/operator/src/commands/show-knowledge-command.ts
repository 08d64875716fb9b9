import { Command, Option } from 'clipanion'
import { fetchRouterKnowledge } from '../fetch-router-knowledge.js'
import { formatErrorLine } from '../format-error-line.js'
import { formatTable } from '../format-table.js'

const HEADERS = ['ROUTER', 'READER', 'SOURCE', 'ERA', 'CONFIGURATION', 'AGE MS', 'ENDPOINTS AGE MS', 'EVACUATED', 'ROUTERS']

/** The `fleet knowledge` command: shows what routers of a one-hop fleet know, and how old it is. */
export class ShowKnowledgeCommand extends Command {
  static override paths = [['fleet', 'knowledge']]
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Shows the store\'s era, the reader, the evacuated zones and the age of what each router of a one-hop fleet knows.',
    examples: [['Two routers, at their addresses for other routers', 'mimosarock fleet knowledge 10.0.0.1:7300 10.0.0.2:7300']]
  })

  addresses = Option.Rest({ required: 1 })
  json = Option.Boolean('--json', false, { description: 'Prints the result as JSON.' })

  /** Asks all routers; prints those that answer, and an error line for each other one. Returns exit code 1 if there is one. */
  override async execute (): Promise<number> {
    const results = await Promise.allSettled(this.addresses.map(fetchRouterKnowledge))
    const known = results.flatMap((result) => result.status === 'fulfilled' ? [result.value] : [])
    const failed = results.flatMap((result) => result.status === 'rejected' ? [result.reason as Error] : [])
    const rows = known.map((router) => [
      router.router, router.isReader ? 'yes' : 'no', router.source ?? '-', String(router.storeEra ?? '-'),
      String(router.configurationVersion), String(router.configurationAgeMs), String(router.endpointsAgeMs),
      router.evacuatedZones.join(',') || '-', String(router.routerCount)
    ])
    this.context.stdout.write(this.json ? `${JSON.stringify(known)}\n` : formatTable(HEADERS, rows))
    for (const error of failed) this.context.stderr.write(formatErrorLine(error))
    return failed.length > 0 ? 1 : 0
  }
}

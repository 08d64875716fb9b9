import { Command, Option } from 'clipanion'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'

const DEFAULT_TIMEOUT_MS = 30_000

/** Waits until a revision is in force on every live router. */
export class WaitForRevisionCommand extends OperatorCommand {
  static override paths = [['configuration', 'wait']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Returns when every live router reports the revision; exit code 1 at the timeout.',
    examples: [['Wait for revision 13', 'mimosarock configuration wait --revision 13']]
  })

  revision = Option.String('--revision', { required: true })
  timeoutMs = Option.String('--timeout-ms', { description: `Default ${DEFAULT_TIMEOUT_MS}.` })

  /**
   * Waits and prints what each router reports.
   * @param client clients of the router's services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const answer = await client.queries.waitForRevision({
      revision: BigInt(Math.trunc(parseNumber('--revision', this.revision, 0))),
      timeoutMs: parseNumber('--timeout-ms', this.timeoutMs, DEFAULT_TIMEOUT_MS)
    })
    const rows = answer.routers.map((router) => [router.routerId, router.availabilityZone, router.state, String(router.revision)])
    const summary = answer.inForceEverywhere ? 'in force on every live router' : 'not in force everywhere'
    this.print(`${formatTable(['ROUTER', 'ZONE', 'STATE', 'REVISION'], rows)}${summary}\n`, {
      inForceEverywhere: answer.inForceEverywhere,
      routers: answer.routers.map((router) => ({ router: router.routerId, state: router.state, revision: Number(router.revision) }))
    })
    return answer.inForceEverywhere ? 0 : 1
  }
}

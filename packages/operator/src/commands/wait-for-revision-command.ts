import { Command, Option } from 'clipanion'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'
import { parseNumber } from '../parse-number.js'

const DEFAULT_TIMEOUT_MS = 30_000

/** The `configuration wait` command: waits until a revision is in force on every live router. */
export class WaitForRevisionCommand extends OperatorCommand {
  static override paths = [['configuration', 'wait']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Waits until every live router reports the revision or a newer one; exits with code 1 on timeout.',
    examples: [['Wait for revision 13', 'mimosarock configuration wait --revision 13']]
  })

  revision = Option.String('--revision', { required: true })
  timeoutMs = Option.String('--timeout-ms', { description: `Timeout, in milliseconds; default ${DEFAULT_TIMEOUT_MS}.` })

  /**
   * Waits for the revision and prints the state of each router.
   * @param client clients of the router's operator services
   * @returns 0 if the revision is in force on every live router, 1 on timeout
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const response = await client.queries.waitForRevision({
      revision: BigInt(Math.trunc(parseNumber('--revision', this.revision, 0))),
      timeoutMs: parseNumber('--timeout-ms', this.timeoutMs, DEFAULT_TIMEOUT_MS)
    })
    const rows = response.routers.map((router) => [router.routerId, router.availabilityZone, router.state, String(router.revision)])
    const summary = response.inForceEverywhere ? 'in force on every live router' : 'not in force everywhere'
    this.print(`${formatTable(['ROUTER', 'ZONE', 'STATE', 'REVISION'], rows)}${summary}\n`, {
      inForceEverywhere: response.inForceEverywhere,
      routers: response.routers.map((router) => ({ router: router.routerId, state: router.state, revision: Number(router.revision) }))
    })
    return response.inForceEverywhere ? 0 : 1
  }
}

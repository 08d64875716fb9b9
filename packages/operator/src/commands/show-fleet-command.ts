import { toJson } from '@bufbuild/protobuf'
import { Command } from 'clipanion'
import { GetFleetResponseSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { formatTable } from '../format-table.js'
import type { OperatorClient } from '../operator-client.js'
import { OperatorCommand } from '../operator-command.js'

/** The `fleet show` command: shows the routers and endpoints known to the queried router. */
export class ShowFleetCommand extends OperatorCommand {
  static override paths = [['fleet', 'show'], ['fleet']]
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Shows live routers with their revisions, and endpoints with owners and loads.',
    examples: [['The fleet as seen by one router', 'mimosarock fleet show']]
  })

  /**
   * Queries the state of the fleet and prints it.
   * @param client clients of the router's operator services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const fleet = await client.queries.getFleet({})
    const routers = fleet.routers.map((router) => [router.routerId, router.availabilityZone, router.state, String(router.revision)])
    const endpoints = fleet.endpoints.map((endpoint) => [`${endpoint.pool}/${endpoint.endpoint}`, endpoint.state,
      endpoint.ownerRouterId, String(endpoint.inFlight), String(endpoint.queued)])
    const tables = [
      formatTable(['ROUTER', 'ZONE', 'STATE', 'REVISION'], routers),
      formatTable(['ENDPOINT', 'STATE', 'OWNER', 'IN FLIGHT', 'QUEUED'], endpoints)
    ]
    this.print(tables.join('\n'), toJson(GetFleetResponseSchema, fleet, { alwaysEmitImplicit: true }))
    return 0
  }
}

import type { Client } from '@connectrpc/connect'
import type { CommandService, QueryService } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Clients of one router's operator services. */
export interface OperatorClient {
  readonly commands: Client<typeof CommandService>
  readonly queries: Client<typeof QueryService>
}

import type { GatewayConfiguration } from './gateway-configuration.js'

/** A record of the operator: a configuration, or whether an availability zone is evacuated. */
export type OperatorRecord =
  | { readonly configuration: GatewayConfiguration }
  | { readonly zone: string, readonly isEvacuated: boolean }

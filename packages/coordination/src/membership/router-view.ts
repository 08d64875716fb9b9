import type { RouterIdentity } from '../router-identity.js'
import type { RouterState } from './router-state.js'

/** State of one router, as shown to operators. */
export interface RouterView {
  readonly identity: RouterIdentity
  readonly state: RouterState
  /** Configuration revision that the router last reported; 0 before the first report. */
  readonly revision: number
}

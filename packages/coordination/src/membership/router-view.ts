import type { RouterIdentity } from '../router-identity.js'
import type { RouterState } from './router-state.js'

/** One router as the fleet view of operators shows it. */
export interface RouterView {
  readonly identity: RouterIdentity
  readonly state: RouterState
  /** Configuration revision that it last reported; 0 before the first report. */
  readonly revision: number
}

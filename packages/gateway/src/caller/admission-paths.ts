import type { Homes } from '../homes/homes.js'
import type { AdmissionPath } from './admission-path.js'
import type { AdmissionPathsOptions } from './admission-paths-options.js'
import type { AuthorizedRequest } from './authorized-request.js'
import { GrantedAdmission } from './granted-admission.js'
import { LocalAdmission } from './local-admission.js'

/** Creates the admission path of each request: by slot grants where its service uses them, otherwise by this router's own share. */
export class AdmissionPaths {
  private readonly _options: AdmissionPathsOptions

  /**
   * @param options components that the paths use
   */
  constructor (options: AdmissionPathsOptions) {
    this._options = options
  }

  /**
   * Creates the path of a request.
   * @param authorized the request
   * @param timeLeftMs returns the milliseconds left for the request
   * @param homes regions in which alone the request may run; undefined if it may run everywhere
   */
  create (authorized: AuthorizedRequest, timeLeftMs: () => number, homes?: Homes): AdmissionPath {
    const { admissions, endpointSelector, slotClient, endpoints, health, permits, clock } = this._options
    const { service, caller: { prompt } } = authorized
    const admission = admissions.get(service, homes)
    const local = new LocalAdmission(service, prompt, admission, endpointSelector)
    if (!slotClient.usesGrants(service)) return local
    return new GrantedAdmission({
      service,
      prompt,
      zones: homes === undefined ? undefined : [...new Set(endpoints.ready(service).filter(homes.mayRunAt).map(({ availabilityZone }) => availabilityZone))],
      client: slotClient,
      fallback: local,
      admission,
      isProcessFull: () => admissions.isProcessFull,
      endpoints,
      selector: endpointSelector,
      health,
      permits,
      clock,
      timeLeftMs
    })
  }
}

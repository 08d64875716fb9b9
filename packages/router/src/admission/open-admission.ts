import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import type { CallAdmission } from './call-admission.js'

/** Admits every call; for endpoints whose load is not bounded. */
export class OpenAdmission implements CallAdmission {
  /** Admits the call at once. */
  async admit (): Promise<AdmissionTicket> {
    return { recordFirstByte: () => {}, release: () => {} }
  }
}

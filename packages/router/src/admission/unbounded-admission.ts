import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import type { CallAdmission } from './call-admission.js'

/** Admits every call without a load bound or a queue. */
export class UnboundedAdmission implements CallAdmission {
  /** Admits the call immediately; releasing the ticket has no effect. */
  async admit (): Promise<AdmissionTicket> {
    return { recordFirstByte: () => {}, release: () => {} }
  }
}

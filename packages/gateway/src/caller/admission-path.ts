import type { ServiceRequest } from '../admission/service-request.js'
import type { ChoiceConstraints } from '../choice/choice-constraints.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { SlotOutcome } from '../grants/slot-outcome.js'
import type { StatedLoad } from '../model/stated-load.js'

/** The way on which one request is admitted to its service and gets its endpoints. */
export interface AdmissionPath {
  /** Name of the slot owner that granted the last endpoint; undefined if none did. */
  readonly slotOwner: string | undefined
  /** Time for which the request waited for grants, in milliseconds; undefined if it asked for none. */
  readonly grantMs: number | undefined
  /**
   * Admits the request if that is decided at once.
   * @param request the request
   * @returns whether it is admitted; if not, call `wait`
   * @throws MimosarockError if the request is rejected; it has not run
   */
  tryAdmit (request: ServiceRequest): boolean
  /**
   * Resolves when the request is admitted.
   * @param request request that `tryAdmit` did not admit
   * @param signal ends the wait when aborted
   * @throws MimosarockError if the request is rejected or the signal is aborted; it has not run
   */
  wait (request: ServiceRequest, signal: AbortSignal): Promise<void>
  /**
   * Chooses the endpoint of the next attempt of the admitted request.
   * @param constraints what restricts the choice
   * @param signal ends a wait when aborted
   * @returns undefined if no endpoint is left; a promise only if others are asked
   * @throws MimosarockError if the request is rejected or the signal is aborted
   */
  choose (constraints: ChoiceConstraints, signal: AbortSignal): ChosenEndpoint | undefined | Promise<ChosenEndpoint | undefined>
  /**
   * Records the end of a call to the endpoint that was chosen last, or that there was none.
   * @param outcome outcome of the call
   * @param load load that the endpoint stated at the end of the call; undefined if it stated none
   */
  endCall (outcome: SlotOutcome, load: StatedLoad | undefined): void
  /** Records that the admitted request is being dispatched. */
  recordDispatch (): void
  /** Ends an admitted request that is not dispatched. */
  withdraw (): void
  /**
   * Ends the admitted request.
   * @param elapsedMs time from the admission to the end, in milliseconds
   */
  release (elapsedMs: number): void
}

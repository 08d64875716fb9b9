import type { ServiceAdmission } from '../admission/service-admission.js'
import type { ServiceRequest } from '../admission/service-request.js'
import type { ChoiceConstraints } from '../choice/choice-constraints.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { EndpointSelector } from '../choice/endpoint-selector.js'
import type { PromptPart } from '../model/prompt-part.js'
import type { AdmissionPath } from './admission-path.js'

/** Admission by this router's own concurrency limit, and choice of the endpoint by the loads that it knows. */
export class LocalAdmission implements AdmissionPath {
  readonly slotOwner = undefined
  readonly grantMs = undefined
  private readonly _service: string
  private readonly _prompt: readonly PromptPart[]
  private readonly _admission: ServiceAdmission
  private readonly _selector: EndpointSelector

  /**
   * @param service name of the service
   * @param prompt parts of the prompt; empty for requests without one
   * @param admission admission control of the service
   * @param selector chooses endpoints
   */
  constructor (service: string, prompt: readonly PromptPart[], admission: ServiceAdmission, selector: EndpointSelector) {
    this._service = service
    this._prompt = prompt
    this._admission = admission
    this._selector = selector
  }

  tryAdmit (request: ServiceRequest): boolean {
    return this._admission.tryAdmit(request)
  }

  async wait (request: ServiceRequest, signal: AbortSignal): Promise<void> {
    await this._admission.wait(request, signal)
  }

  choose (constraints: ChoiceConstraints): ChosenEndpoint | undefined {
    return this._selector.choose(this._service, this._prompt, constraints)
  }

  endCall (): void {
    // The loads of this router are counted for all requests alike.
  }

  recordDispatch (): void {
    this._admission.recordDispatch()
  }

  withdraw (): void {
    this._admission.withdraw()
  }

  release (elapsedMs: number): void {
    this._admission.release(elapsedMs)
  }
}

/** Readiness of the router to receive calls. */
export interface Readiness {
  /**
   * Returns why the router is not ready.
   * @returns text for the response to `/readyz`; undefined if the router is ready
   */
  reasonNotReady (): string | undefined
}

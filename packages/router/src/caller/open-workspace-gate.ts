import type { WorkspaceGate } from './workspace-gate.js'

/** Lets every request in; for fleets whose workspaces have no limits. */
export class OpenWorkspaceGate implements WorkspaceGate {
  /** Lets the request in at once. */
  async enter (): Promise<() => void> {
    return () => {}
  }
}

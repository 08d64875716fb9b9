import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Holds workspaces to their limits of rate and concurrency. */
export interface WorkspaceGate {
  /**
   * Takes one request of a workspace.
   * @param workspace the workspace with its limits
   * @param signal ends the wait for a decision
   * @returns a function to call when the request has ended
   * @throws {MimosarockError} RATE_LIMITED or CONCURRENCY_LIMITED
   */
  enter (workspace: Workspace, signal: AbortSignal): Promise<() => void>
}
